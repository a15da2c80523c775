"""What an operator orders of a roll-out, and what it's told of it."""

from __future__ import annotations

import abc
import enum

import msgspec

from tealcove import ids

# Least and most seconds in which a roll-out can be asked for.
MIN_PERIOD = 1.0
MAX_PERIOD = 24 * 3600.0


class State(enum.Enum):
    """How far a roll-out has come."""

    RUNNING = "running"
    # All requests go to the new version, and nothing runs at the old ones.
    DONE = "done"
    # The new version gets nothing any more.
    ROLLED_BACK = "rolled_back"


class Order(msgspec.Struct, frozen=True):
    """Move a service's requests to another version of its servers."""

    service: ids.PoolId
    to: str
    # Seconds within which it has to be done.
    period: float
    # Tells an order from one that replaces it.
    revision: ids.Revision

    def problem(self) -> str | None:
        """Return why it can't be carried out; None: it can."""
        if not self.to:
            return "it names no version"
        if not MIN_PERIOD <= self.period <= MAX_PERIOD:
            return f"its period isn't {MIN_PERIOD:g} to {MAX_PERIOD:g} s"
        return None


class Status(msgspec.Struct, frozen=True):
    """What is kept of a roll-out, for the operator and for the next dispatcher."""

    to: str
    state: State
    # The order that it is of.
    revision: ids.Revision
    # When it began, in seconds of the store's clock.
    began: float
    reason: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """What the store has of a service's roll-out at one moment of its clock."""

    order: Order | None
    status: Status | None
    # The status as it's stored, to be replaced only while it's still so.
    stored: object
    store_seconds: float


class OrderStore(abc.ABC):
    """Where orders are written, and what became of them."""

    @abc.abstractmethod
    async def read(self, service: ids.PoolId) -> Snapshot:
        """Return a service's order and its status; raises PlatformError."""

    @abc.abstractmethod
    async def write_status(
        self, service: ids.PoolId, status: Status, snapshot: Snapshot
    ) -> None:
        """Write a status in place of the one that was read.

        Raises table.ConditionFailedError if somebody has written another since, and
        PlatformError if it can't be known to be written.
        """
