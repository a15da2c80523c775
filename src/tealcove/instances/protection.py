"""Whether an instance refuses new requests, since it would fail otherwise."""

from __future__ import annotations

import zlib

from tealcove import ids

# Fraction above which new requests are refused, and below which they are accepted
# again. Without the distance, an instance would alternate between the two.
OVERLOAD = 0.9
RECOVERED = 0.85
# Least seconds of refusing: just below the 0.1 s between two samples, so that the next
# one may end it. With 0.5 s, an instance lost so much load that others were overloaded
# in turn: in simulation, at a demand of 0.8 of all instances, a tenth of the requests
# was refused by all of a subset.
MIN_SECONDS = 0.09
# Seconds after which a refused caller may retry, at another instance as a rule: the
# least, and the spread that keeps callers refused together from retrying together.
RETRY_SECONDS = 0.2
RETRY_SPREAD = 0.3
SPREAD_STEPS = 1000


class Protection:
    """Decides by the largest fraction, with hysteresis."""

    def __init__(self) -> None:
        self.is_overloaded = False
        self.since = ids.Instant(0.0)
        # Requests that were refused, for the metrics.
        self.refused = 0

    def update(self, load: float, now: ids.Instant) -> bool:
        """Return whether new requests are refused."""
        if not self.is_overloaded and load > OVERLOAD:
            self.is_overloaded = True
            self.since = now
        elif self.is_overloaded and load < RECOVERED:
            self.is_overloaded = now - self.since < MIN_SECONDS
        return self.is_overloaded

    def retry_after(self, request: ids.RequestId) -> float:
        """Count a refusal and return the seconds after which to retry."""
        self.refused += 1
        return retry_seconds(request)


def retry_seconds(request: ids.RequestId) -> float:
    """Return the seconds after which to retry, which differ between requests."""
    part = zlib.crc32(request.encode()) % SPREAD_STEPS / SPREAD_STEPS
    return RETRY_SECONDS + RETRY_SPREAD * part
