"""Limits the bytes that all callers together make this process hold."""

from __future__ import annotations

import math
from collections.abc import Callable

import logbook

from tealcove import ids
from tealcove.callermemory import holding

log = logbook.Logger("callermemory")

# Part of the machine's memory for callers. The rest is for the process itself and for
# the objects of each request.
CALLERS_SHARE = 0.3
# Bytes up to which a connection is small. Others leave a part of the budget to these,
# so that long requests can't keep out ordinary ones.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 0.75
# Part of its limit down to which the budget is freed at once, and the seconds between
# two searches of all connections, each of which costs up to some milliseconds.
FREED_SHARE = 0.75
SEARCH_SECONDS = 0.05


class Budget(holding.Account):
    """The bytes of all connections of all listeners of a process."""

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.used = 0
        self.holdings: set[holding.Holding] = set()
        self.searched_at = ids.Instant(-math.inf)
        # Counts for the metrics.
        self.ended = 0
        self.refused = 0

    def open(self, abort: Callable[[], None], now: ids.Instant) -> holding.Holding:
        """Return what a new connection holds."""
        found = holding.Holding(self, abort, now)
        self.holdings.add(found)
        return found

    def take_over(self, held: holding.Holding, now: ids.Instant) -> holding.Holding:
        """Return what a request holds that goes on without its connection."""
        found = self.open(do_nothing, now)
        found.begin(holding.Step.ANSWERING, now)
        held.move_to(found)
        return found

    def close(self, held: holding.Holding) -> None:
        """Count a connection no longer."""
        held.is_ended = True
        held.recount()
        # It refers to the connection, which refers to this.
        held.abort = do_nothing
        self.holdings.discard(held)

    def count(self, more: int) -> None:
        """See Account."""
        self.used += more

    def allows(self, held: holding.Holding, more: int, now: ids.Instant) -> bool:
        """See Account.

        Ends those that make the least progress first, if that helps.
        """
        is_small = held.size + more <= SMALL_BYTES
        limit = self.limit if is_small else LARGE_SHARE * self.limit
        if self.used + more > limit:
            self.end_slowest(min(limit - more, FREED_SHARE * limit), now)
        return self.used + more <= limit

    def relieve(self, now: ids.Instant) -> None:
        """End what slow callers hold if more than the limit is held."""
        if self.used > self.limit:
            self.end_slowest(FREED_SHARE * self.limit, now)

    def end_slowest(self, goal: float, now: ids.Instant) -> None:
        """End what slow callers hold until no more than the goal is used."""
        if now - self.searched_at < SEARCH_SECONDS:
            return
        self.searched_at = now
        slow = [held for held in self.holdings if held.is_slow(now)]
        slow.sort(key=lambda held: (not held.is_unread(now), held.progress_at(now)))
        before, ended = self.used, 0
        for held in slow:
            if self.used <= goal:
                break
            held.end()
            ended += 1
        self.ended += ended
        if ended:
            log.warning(
                "{} of {} connections ended: callers hold {} of {:.0f} bytes, now {}",
                ended,
                len(self.holdings),
                before,
                self.limit,
                self.used,
            )


def do_nothing() -> None:
    """Close nothing."""
