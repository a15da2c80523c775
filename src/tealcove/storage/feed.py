"""A table as something to follow: all rows of a moment, then what has changed."""

from __future__ import annotations

import abc
from collections.abc import Callable

import msgspec

from tealcove import errors


class Entry(msgspec.Struct, frozen=True):
    """A row of the followed table; no value means that the row was dropped."""

    key: str
    value: bytes | None
    # The version at which the row became so; grows with every change.
    version: int


class Page(msgspec.Struct, frozen=True):
    """Rows or changes, and the version up to which nothing else has changed."""

    entries: tuple[Entry, ...]
    version: int


class HistoryLostError(errors.PlatformError):
    """The changes since the version asked for are no longer kept."""


class Feed(abc.ABC):
    """Reads a table whole, and waits for its changes."""

    @abc.abstractmethod
    async def read_all(self, table: str) -> Page:
        """Return all rows of a table as of one moment.

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
        """Return what has changed after a version, or nothing after `seconds`.

        `arriving` is called when the answer begins to come; the rest of it may take
        long on a slow link.

        Raises HistoryLostError, after which the table must be read whole, or
        PlatformUnavailableError.
        """
