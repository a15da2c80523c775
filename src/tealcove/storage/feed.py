"""A change feed of a table: a consistent read of all rows, then the changes."""

from __future__ import annotations

import abc
from collections.abc import Callable

import msgspec

from tealcove import errors


class Entry(msgspec.Struct, frozen=True):
    """A row of the table; `value` is None if the row was deleted."""

    key: str
    value: bytes | None
    # The version of the change that led to this state; grows with every change.
    version: int


class Page(msgspec.Struct, frozen=True):
    """Rows or changes, complete up to a version."""

    entries: tuple[Entry, ...]
    version: int


class HistoryLostError(errors.PlatformError):
    """The changes since the requested version are no longer kept."""


class Feed(abc.ABC):
    """Reads a whole table and waits for its changes."""

    @abc.abstractmethod
    async def read_all(self, table: str) -> Page:
        """Return all rows of a table at one version.

        Raises PlatformUnavailableError.
        """

    @abc.abstractmethod
    async def wait_for_changes(
        self,
        table: str,
        since: int,
        seconds: float,
        arriving: Callable[[], None] | None = None,
    ) -> Page:
        """Return the changes after a version, or none after a timeout of `seconds`.

        `arriving` is called when the response starts; receiving the rest of it may
        take long on a slow link.

        Raises HistoryLostError, after which the whole table must be read, or
        PlatformUnavailableError.
        """
