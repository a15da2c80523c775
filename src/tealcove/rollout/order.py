"""Rollout orders of operators, rollout status, and the store that holds both."""

from __future__ import annotations

import abc
import enum

import msgspec

from tealcove import ids

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


class Snapshot(msgspec.Struct, frozen=True):
    """Order and status of a service's rollout, as read from the store."""

    order: Order | None
    status: Status | None
    # The status row as stored; a write replaces it only if it's unchanged.
    stored: object
    # Time of the read, in seconds of the store's clock.
    store_seconds: float


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
