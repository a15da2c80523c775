"""Recent arrival rate of work by tier."""

from __future__ import annotations

import collections
import math

from tealcove import ids

# Time constant in seconds of the average: long enough for some dozen requests of a tier
# at 10 a second, short enough to follow a burst of 5 s.
WINDOW_SECONDS = 2.0
# Tickets that have waited longer are moved from another dispatcher, all at once, and
# don't count as arrivals.
FRESH_SECONDS = 0.1


class Inflow:
    """Decaying average of arriving work by tier, in slot seconds per second."""

    def __init__(self) -> None:
        self.levels: dict[int, float] = collections.defaultdict(float)
        self.updated = ids.Instant(0.0)

    def record(self, tier: int, seconds: float, now: ids.Instant) -> None:
        """Count an arrival that will hold a slot for some seconds."""
        self.decay(now)
        self.levels[tier] += seconds / WINDOW_SECONDS

    def decay(self, now: ids.Instant) -> None:
        """Reduce the weight of earlier arrivals."""
        part = math.exp(-max(0.0, now - self.updated) / WINDOW_SECONDS)
        self.updated = now
        for tier in self.levels:
            self.levels[tier] *= part

    def load_above(self, tier: int, now: ids.Instant) -> float:
        """Return the slots that arrivals of lower tier numbers keep busy."""
        self.decay(now)
        return sum(level for other, level in self.levels.items() if other < tier)
