"""Limits the requests that a backend server is granted to a rate."""

from __future__ import annotations

from tealcove import ids

# Seconds of the rate that may be granted at once after a pause.
BURST_SECONDS = 1.0
# The least rate in requests a second: a server that asks for none at all gets one now
# and then, since only its answers tell when that ends.
MIN_RATE = 0.25


class RequestRate:
    """A token bucket with one token for each request.

    It is empty at first, since the server has just been given all it could run.
    """

    def __init__(self, rate: float, now: ids.Instant) -> None:
        self.rate = max(MIN_RATE, rate)
        self.tokens = 0.0
        self.updated = now

    @property
    def capacity(self) -> float:
        """The number of tokens after a long pause."""
        return max(1.0, self.rate * BURST_SECONDS)

    def refill(self, now: ids.Instant) -> None:
        """Add the tokens for the time since the last call."""
        added = self.rate * max(0.0, now - self.updated)
        self.tokens = min(self.capacity, self.tokens + added)
        self.updated = now

    def change(self, rate: float, now: ids.Instant) -> None:
        """Set another rate from now on, in requests a second."""
        self.refill(now)
        self.rate = max(MIN_RATE, rate)
        self.tokens = min(self.capacity, self.tokens)

    def available(self, now: ids.Instant) -> int:
        """Return how many requests may be granted now."""
        self.refill(now)
        return int(self.tokens)

    def take(self, now: ids.Instant) -> None:
        """Record a granted request."""
        self.refill(now)
        self.tokens -= 1.0

    def available_at(self, count: int, now: ids.Instant) -> ids.Instant:
        """Return when so many requests will have become available from now on."""
        self.refill(now)
        missing = max(0.0, count - self.tokens)
        return ids.Instant(now + missing / self.rate)
