"""A token bucket: a rate, of which one second may be spent at once after a pause."""

from __future__ import annotations

import math

from tealcove import ids

# Seconds of the rate that a full bucket holds: as long as a burst of requests lasts
# until slots become free again.
BURST_SECONDS = 1.0


class TokenBucket:
    """Tokens that accrue at a rate; the bucket is full at first.

    Spending more than there is leaves a debt, of so many seconds of the rate at most.
    """

    def __init__(self, rate: float, max_debt_seconds: float = math.inf) -> None:
        self.rate = rate
        self.max_debt_seconds = max_debt_seconds
        self.level = self.burst
        self.refilled_at = ids.Instant(0.0)

    @property
    def burst(self) -> float:
        """The tokens of a full bucket."""
        return self.rate * BURST_SECONDS

    def refill(self, now: ids.Instant) -> None:
        """Add the tokens for the time since the last call."""
        added = self.rate * max(0.0, now - self.refilled_at)
        self.set_level(self.level + added)
        self.refilled_at = now

    def change(self, rate: float, now: ids.Instant) -> None:
        """Set another rate from now on; it bounds the level at the next refill."""
        self.refill(now)
        self.rate = rate

    def allows(self, size: float, now: ids.Instant) -> bool:
        """Tell whether so much may be spent; more than a burst needs a full bucket."""
        self.refill(now)
        return self.level >= min(size, self.burst)

    def spend(self, size: float) -> None:
        """Charge tokens, whether or not there are so many."""
        self.set_level(self.level - size)

    def set_level(self, level: float) -> None:
        """Set the level within its bounds."""
        least = -self.rate * self.max_debt_seconds
        self.level = max(least, min(self.burst, level))
