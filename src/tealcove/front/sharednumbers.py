"""Recognises IP numbers that many callers share, by how often they ask."""

from __future__ import annotations

import collections
import math

from tealcove import ids

# Seconds over which questions are counted.
WINDOW_SECONDS = 2.0
# Seconds after which a caller asks again, at the soonest.
ASK_SECONDS = 1.0
# Callers up to which one number counts as one caller: one that has just failed asks
# more often.
MAX_SINGLE = 4
# Numbers that are counted in a window; further ones count as single callers.
MAX_NUMBERS = 10_000


class SharedNumbers:
    """Counts the questions of each IP number.

    Callers behind one number would share one subset of instances, and two or three
    instances would get all of them. Each of their questions is given a subset of its
    own instead.
    """

    def __init__(self) -> None:
        self.window = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.before: collections.Counter[str] = collections.Counter()

    def key(self, caller: str, now: ids.Instant) -> str:
        """Count a question of a caller, and return the key of its subset."""
        self.turn(now)
        if caller in self.counts or len(self.counts) < MAX_NUMBERS:
            self.counts[caller] += 1
        asked = max(self.counts[caller], self.before[caller])
        if asked * ASK_SECONDS / WINDOW_SECONDS <= MAX_SINGLE:
            return caller
        return f"{caller}/{self.window}/{self.counts[caller]}"

    def turn(self, now: ids.Instant) -> None:
        """Begin a new window if the present one is over."""
        window = math.floor(now / WINDOW_SECONDS)
        if window == self.window:
            return
        is_next = window == self.window + 1
        self.before = self.counts if is_next else collections.Counter()
        self.counts = collections.Counter()
        self.window = window
