"""How much work of each rank has arrived lately."""

from __future__ import annotations

import collections
import math

from tealcove import ids

# Seconds over which arrivals are averaged: long enough for some dozen requests of a
# rank at 10 a second, short enough to follow a burst of 5 s.
WINDOW_SECONDS = 2.0
# Tickets that have waited for longer come from another dispatcher, all at once.
FRESH_SECONDS = 0.1


class Inflow:
    """Work by rank, in seconds of a slot for each second, newer counting for more."""

    def __init__(self) -> None:
        self.levels: dict[int, float] = collections.defaultdict(float)
        self.updated = ids.Instant(0.0)

    def note(self, rank: int, seconds: float, now: ids.Instant) -> None:
        """Take in a request that holds a slot for some seconds."""
        self.fade(now)
        self.levels[rank] += seconds / WINDOW_SECONDS

    def fade(self, now: ids.Instant) -> None:
        """Let what came earlier count for less."""
        part = math.exp(-max(0.0, now - self.updated) / WINDOW_SECONDS)
        self.updated = now
        for rank in self.levels:
            self.levels[rank] *= part

    def before(self, rank: int, now: ids.Instant) -> float:
        """Return the slots that arrivals with a better rank keep busy."""
        self.fade(now)
        return sum(level for other, level in self.levels.items() if other < rank)
