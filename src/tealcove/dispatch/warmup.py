"""The time in which a backend server is cold, and bears few requests."""

from __future__ import annotations

import math

from tealcove import ids
from tealcove.dispatch import requestrate, statements
from tealcove.resources import kinds


class Warmup:
    """Limits what a server is granted while it is cold, after its start or later.

    A cold server falls over when it gets requests as fast as a warm one takes them.
    """

    def __init__(self) -> None:
        self.until = statements.NEVER
        self.rate: requestrate.RequestRate | None = None

    def update(self, spec: kinds.BackendServerSpec, now: ids.Instant) -> None:
        """Apply for how long the server is cold by its entry in the list."""
        self.until = ids.Instant(now + spec.cold_seconds)
        if not self.is_cold(now) or spec.cold_rate <= 0.0:
            self.rate = None
        elif self.rate is None:
            self.rate = requestrate.RequestRate(spec.cold_rate, now)
        else:
            self.rate.change(spec.cold_rate, now)

    def is_cold(self, now: ids.Instant) -> bool:
        """Tell whether the server is cold."""
        return now < self.until

    def available(self, now: ids.Instant) -> float:
        """Return how many requests it may get now."""
        if self.rate is None or not self.is_cold(now):
            return math.inf
        return self.rate.available(now)

    def record_grant(self, now: ids.Instant) -> None:
        """Count a granted request."""
        if self.rate is not None:
            self.rate.take(now)
