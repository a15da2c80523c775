"""Loads the scheduler class that the settings name."""

from __future__ import annotations

import importlib

from tealcove import errors
from tealcove.dispatch import scheduler


def find(name: str) -> type[scheduler.Scheduler]:
    """Return the scheduler class of "module:Class"; raise SettingsError if invalid."""
    module_name, _, class_name = name.partition(":")
    try:
        found = getattr(importlib.import_module(module_name), class_name)
    except (ImportError, AttributeError, ValueError) as error:
        raise invalid_policy(name, "can't be imported") from error
    if not (isinstance(found, type) and issubclass(found, scheduler.Scheduler)):
        raise invalid_policy(name, "isn't a scheduler")
    return found


def invalid_policy(name: str, problem: str) -> errors.SettingsError:
    """Return the error for a name that isn't a scheduler's."""
    return errors.SettingsError(
        f"$.dispatch.policy: {name!r} {problem}",
        'Write "module:Class" of a tealcove.dispatch.scheduler.Scheduler',
    )
