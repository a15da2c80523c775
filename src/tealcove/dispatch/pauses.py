"""Pauses that grow while what they wait for doesn't come back."""

from __future__ import annotations

import math

from tealcove import ids

FACTOR = 2.0


class Pause:
    """The time in which something isn't tried, longer each time in a row."""

    def __init__(self, shortest: float, longest: float) -> None:
        # Seconds of the first pause, and of any.
        self.shortest = shortest
        self.longest = longest
        # Seconds of the next one.
        self.seconds = shortest
        self.until = ids.Instant(-math.inf)

    def is_active(self, now: ids.Instant) -> bool:
        """Tell whether nothing should be tried now."""
        return now < self.until

    def begin(self, now: ids.Instant) -> None:
        """Begin a pause, unless one is active.

        Several failures that were under way together say no more than one.
        """
        if self.is_active(now):
            return
        self.until = ids.Instant(now + self.seconds)
        self.seconds = min(self.longest, FACTOR * self.seconds)

    def end(self, now: ids.Instant) -> None:
        """Let everything be tried again."""
        self.until = now
        self.reset()

    def reset(self) -> None:
        """Let the next pause be a short one."""
        self.seconds = self.shortest
