"""Timers at which a decision about a queued ticket is needed."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator

from tealcove import ids
from tealcove.dispatch import queue


class Alarms:
    """A priority queue of tickets by time; those no longer queued are skipped."""

    def __init__(self) -> None:
        self.heap: list[tuple[ids.Instant, int, queue.WaitingTicket]] = []
        self.numbers = itertools.count()

    def add(self, at: ids.Instant, waiting: queue.WaitingTicket) -> None:
        """Set a timer for a ticket."""
        heapq.heappush(self.heap, (at, next(self.numbers), waiting))

    def due(self, now: ids.Instant) -> Iterator[queue.WaitingTicket]:
        """Remove the expired timers and yield their tickets that are still queued."""
        while self.heap and self.heap[0][0] <= now:
            waiting = heapq.heappop(self.heap)[2]
            if waiting.is_queued:
                yield waiting
