"""How much work of each tier has arrived lately."""

from __future__ import annotations

import collections
import math

from tealcove import ids

# Seconds over which arrivals are averaged: long enough for some dozen requests of a
# tier at 10 a second, short enough to follow a burst of 5 s.
WINDOW_SECONDS = 2.0
# Tickets that have waited for longer come from another dispatcher, all at once.
FRESH_SECONDS = 0.1


class Inflow:
    """Work by tier, in seconds of a slot for each second, newer counting for more."""

    def __init__(self) -> None:
        self.levels: dict[int, float] = collections.defaultdict(float)
        self.updated = ids.Instant(0.0)

    def record(self, tier: int, seconds: float, now: ids.Instant) -> None:
        """Take in a request that holds a slot for some seconds."""
        self.decay(now)
        self.levels[tier] += seconds / WINDOW_SECONDS

    def decay(self, now: ids.Instant) -> None:
        """Let what came earlier count for less."""
        part = math.exp(-max(0.0, now - self.updated) / WINDOW_SECONDS)
        self.updated = now
        for tier in self.levels:
            self.levels[tier] *= part

    def load_above(self, tier: int, now: ids.Instant) -> float:
        """Return the slots that arrivals of better tiers keep busy."""
        self.decay(now)
        return sum(level for other, level in self.levels.items() if other < tier)
