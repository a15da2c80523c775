"""Promised returns that this instance was told, for its own or another takeover."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import firstattempts, messages

# A dispatcher's process: its instance and incarnation.
Holder = tuple[ids.InstanceId, ids.Incarnation | None]
# Upper bound on the returns of one cell: 400 a second, each up to 5 s ahead.
MAX_AWAITED = 2000


class AwaitedReturn(msgspec.Struct):
    """A promised return, with its times as of an instant."""

    promised: messages.PromisedReturn
    recorded_at: ids.Instant

    def is_over(self, now: ids.Instant) -> bool:
        """Tell whether its caller can't keep the time any more."""
        due = self.recorded_at + self.promised.due_in
        return now > due + firstattempts.KEPT_SECONDS

    def as_of(self, now: ids.Instant) -> messages.PromisedReturn:
        """Return the promise with its times from now."""
        return messages.shifted(self.promised, now - self.recorded_at)


class AwaitedReturns:
    """Awaited returns by cell."""

    def __init__(self) -> None:
        self.by_cell: dict[ids.CellId, list[AwaitedReturn]] = {}
        # The process that knows the returns of a cell.
        self.holders: dict[ids.CellId, Holder] = {}

    def add(
        self,
        cell: ids.CellId,
        returns: tuple[messages.PromisedReturn, ...],
        now: ids.Instant,
    ) -> None:
        """Remember returns of a cell, and forget those that are over."""
        kept = [one for one in self.by_cell.get(cell, ()) if not one.is_over(now)]
        kept.extend(AwaitedReturn(one, now) for one in returns)
        self.by_cell[cell] = kept[-MAX_AWAITED:]

    def take(
        self, cell: ids.CellId, now: ids.Instant
    ) -> tuple[messages.PromisedReturn, ...]:
        """Remove and return the returns of a cell, with their times from now."""
        return tuple(
            one.as_of(now) for one in self.by_cell.pop(cell, ()) if not one.is_over(now)
        )

    def pass_on(
        self, cell: ids.CellId, holder: Holder, now: ids.Instant
    ) -> tuple[messages.PromisedReturn, ...]:
        """Return what a cell's new dispatcher doesn't know; it counts as told."""
        if self.holders.get(cell) == holder:
            return ()
        self.holders[cell] = holder
        return tuple(
            one.as_of(now) for one in self.by_cell[cell] if not one.is_over(now)
        )
