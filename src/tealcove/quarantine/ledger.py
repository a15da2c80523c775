"""Interface of the records that all instances share and store."""

from __future__ import annotations

import abc
from typing import Generic, TypeVar

from tealcove import ids

Record = TypeVar("Record")

# A record with fewer seconds left than this isn't shared any more. Without the limit,
# two instances would send an ending record to each other for ever: each would have
# dropped its own just before the other's copy arrives.
MIN_SHARED_SECONDS = 5.0


class Ledger(abc.ABC, Generic[Record]):
    """Records by key; the order of merges doesn't change the result."""

    # Incremented when any record changes.
    version = 0

    @abc.abstractmethod
    def all_keys(self) -> list[str]:
        """Return the keys of all records."""

    @abc.abstractmethod
    def shared(self, key: str, now: ids.Instant) -> Record | None:
        """Return a record to send or store, or None if it is absent or ends soon."""

    def changed(self, key: str, now: ids.Instant) -> Record | None:
        """Return what peers need to know of a change; by default, the whole record."""
        return self.shared(key, now)

    @abc.abstractmethod
    def merge(self, shared: Record, now: ids.Instant) -> bool:
        """Merge the record of a peer or a row; return False if it added nothing."""

    @abc.abstractmethod
    def aged(self, shared: Record, seconds: float) -> Record:
        """Return a record as it is some seconds after it was shared."""

    @abc.abstractmethod
    def sweep(self, now: ids.Instant) -> None:
        """Remove the records that have ended."""

    @abc.abstractmethod
    def checksum(self, now: ids.Instant) -> int:
        """Return a checksum that is equal on instances with the same records."""
