"""Rollout orders of operators, rollout status, and the store that holds both."""

from __future__ import annotations

import abc
import enum

import msgspec

from tealcove import ids
from tealcove.storage import revisions

# Bounds in seconds of the period that an order may ask for.
MIN_PERIOD = 1.0
MAX_PERIOD = 24 * 3600.0


class State(enum.Enum):
    """State of a rollout."""

    RUNNING = "running"
    # All requests go to the new version, and none runs on the old ones.
    DONE = "done"
    # The new version gets no more requests.
    ROLLED_BACK = "rolled_back"


class Order(msgspec.Struct, frozen=True):
    """Order to move a service's requests to another version of its servers."""

    service: ids.PoolId
    to: str
    # Seconds within which the rollout has to be done.
    period: float
    # Distinguishes an order from one that replaces it.
    revision: ids.Revision

    def continues(self, other: Order) -> bool:
        """Return whether this is another order's row, or that row written again.

        After the store was restored, operators write their orders again.
        """
        renumbered = msgspec.structs.replace(other, revision=self.revision)
        is_same_row = self.revision == other.revision
        return self == renumbered and (
            is_same_row or is_of_other_era(self.revision, other.revision)
        )

    def problem(self) -> str | None:
        """Return why the order is invalid, or None if it's valid."""
        if not self.to:
            return "it names no version"
        if not MIN_PERIOD <= self.period <= MAX_PERIOD:
            return f"its period isn't {MIN_PERIOD:g} to {MAX_PERIOD:g} s"
        return None


class Status(msgspec.Struct, frozen=True):
    """Stored status of a rollout, for the operator and for the next dispatcher."""

    to: str
    state: State
    # Revision of the order that it belongs to.
    revision: ids.Revision
    # Start of the rollout, in seconds of the store's clock.
    began: float
    reason: str = ""

    def belongs_to(self, found: Order) -> bool:
        """Return whether this is the status of an order."""
        if self.revision == found.revision:
            return True
        is_other_era = is_of_other_era(self.revision, found.revision)
        return is_other_era and self.to == found.to


def is_of_other_era(one: ids.Revision, other: ids.Revision) -> bool:
    """Return whether the store was restored between two revisions."""
    return revisions.era_of(one) != revisions.era_of(other)


class Snapshot(msgspec.Struct, frozen=True):
    """Order and status of a service's rollout, as read from the store."""

    order: Order | None
    status: Status | None
    # The status row as stored; a write replaces it only if it's unchanged.
    stored: object
    # Time of the read, in seconds of the store's clock.
    store_seconds: float
    # The store's newest revision at that time.
    revision: ids.Revision = ids.Revision(0)


class OrderStore(abc.ABC):
    """Store of rollout orders and their status."""

    @abc.abstractmethod
    async def read(self, service: ids.PoolId) -> Snapshot:
        """Return a service's order and its status; raises PlatformError."""

    @abc.abstractmethod
    async def write_status(
        self, service: ids.PoolId, status: Status, snapshot: Snapshot
    ) -> None:
        """Replace the status that was read.

        Raises table.ConditionFailedError if the stored status has changed since, and
        PlatformError if the write isn't confirmed.
        """
