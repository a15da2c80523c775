"""Checks of a resource against the others that it names or that name it."""

from __future__ import annotations

from tealcove.resources import copy, kinds


def check(configuration: copy.Configuration, resource: kinds.Resource) -> None:
    """Refuse a resource that the others don't fit; raises FieldError."""


def check_deletion(configuration: copy.Configuration, resource: kinds.Resource) -> None:
    """Refuse the deletion of a resource that others name; raises InUseError."""
