"""Instants at which something has to be decided about a queued ticket."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator

from tealcove import ids
from tealcove.dispatch import queue


class Alarms:
    """Tickets by instant; those no longer queued are passed over when due."""

    def __init__(self) -> None:
        self.heap: list[tuple[ids.Instant, int, queue.WaitingTicket]] = []
        self.numbers = itertools.count()

    def add(self, at: ids.Instant, waiting: queue.WaitingTicket) -> None:
        """Have a ticket looked at from an instant on."""
        heapq.heappush(self.heap, (at, next(self.numbers), waiting))

    def due(self, now: ids.Instant) -> Iterator[queue.WaitingTicket]:
        """Take out and yield the queued tickets whose instant has come."""
        while self.heap and self.heap[0][0] <= now:
            waiting = heapq.heappop(self.heap)[2]
            if waiting.is_queued:
                yield waiting
