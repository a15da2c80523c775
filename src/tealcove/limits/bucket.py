"""A token bucket, with a small spare one for what falls just beyond the limit."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.limits import limit as limits

SHORTEST_RETRY = 0.05
LONGEST_RETRY = 60.0
# The spare bucket holds so many seconds of the rate, and grows by this part of it.
# Two instances see two requests in another order than they were sent in, and a
# request that would have fitted a moment earlier is refused; the operators allow a
# tenth beyond the limit. It's kept apart, so that what it lets pass never takes
# the place of what is within the limit.
SPARE_SECONDS = 0.5
SPARE_PART = 0.1
# Its debt may be so many seconds of the rate. Without, only small requests fit: of an
# account that sends three times its limit, .87 of the requests of a thirtieth of the
# rate passed and .33 of those that are twenty times as large; .37 and .37 since
# (virtual time, ten minutes).
SPARE_DEBT_SECONDS = 1.0


class Bucket(msgspec.Struct):
    """What an account may still use, in tokens; a level below 0 is a debt."""

    level: float
    updated: ids.Instant
    spare: float = 0.0

    def take(
        self, tokens: float, limit: limits.Limit, part: float, now: ids.Instant
    ) -> float:
        """Take tokens if there are any; return 0, or the seconds until there are.

        `part` is the part of the limit that this bucket stands for. A request may
        be larger than the burst, so that it would never fit: whatever is left lets
        the next one pass, and the debt is paid off before others do.
        """
        rate = limit.rate * part
        self.grow(rate, limit.burst * part, now)
        if self.level > 0.0:
            self.level -= tokens
            return 0.0
        if self.spare > 0.0 and tokens - self.spare <= rate * SPARE_DEBT_SECONDS:
            self.spare -= tokens
            return 0.0
        wait = -self.level / rate if rate > 0.0 else LONGEST_RETRY
        return min(LONGEST_RETRY, max(SHORTEST_RETRY, wait))

    def grow(self, rate: float, burst: float, now: ids.Instant) -> None:
        """Add the tokens of the time since the last call."""
        added = rate * max(0.0, now - self.updated)
        self.level = min(burst, self.level + added)
        self.spare = min(rate * SPARE_SECONDS, self.spare + SPARE_PART * added)
        self.updated = now
