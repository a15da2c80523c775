"""A token bucket, with a small spare bucket for requests just beyond the limit."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.limits import limit as limits

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 60.0
# The spare bucket refills at this fraction of the rate. Two instances may see two
# requests in another order than they were sent in, so that a request which would have
# fitted a moment earlier is refused; the operators allow a tenth beyond the limit, and
# a fixed amount, the slack, on top. It is separate, so that what it admits is never
# deducted from what is within the limit.
SPARE_RATE_FRACTION = 0.1
# Fractions of the slack: the spare bucket's capacity, the level above which it admits
# requests, and its largest debt; the rest is for the main bucket's own debt of one
# request. With a capacity of 1.5 s of the rate, 250,000 tokens for an account of
# 169,000 a second, such an account got 1.04 to 1.07 times what the operators allow in a
# window of 8 s; with these fractions, .92 to .96 (virtual time, three seeds, three
# times the limit after a pause). Without a debt only small requests fit: of an account
# that sends three times its limit, .87 of the requests of a thirtieth of the rate
# passed and .33 of those that are twenty times as large; with it, .37 and .37 (virtual
# time, ten minutes).
SPARE_SLACK_FRACTION = 0.25
MIN_SLACK_FRACTION = 0.02
DEBT_SLACK_FRACTION = 0.4


class Bucket(msgspec.Struct):
    """The tokens that an account may still use; a level below 0 is a debt."""

    level: float
    updated: ids.Instant
    spare: float = 0.0
    # The fraction of the burst that `add_unsettled_burst` has added so far.
    opened_fraction: float = 1.0

    @classmethod
    def unsettled(cls, now: ids.Instant) -> Bucket:
        """Return an empty bucket, for when a former home may have granted tokens."""
        return cls(0.0, now, opened_fraction=0.0)

    def add_unsettled_burst(self, burst: float, fraction: float) -> None:
        """Raise an unsettled bucket's initial fraction of the burst to `fraction`.

        The tokens added may be beyond the limit, so they are deducted from the spare
        bucket: in a window in which its home dies, an account that sends three times
        its limit gets .95 to .96 of what the operators allow, .98 to 1.00 without this.
        """
        if fraction <= self.opened_fraction:
            return
        added = burst * (fraction - self.opened_fraction)
        self.opened_fraction = fraction
        self.level += added
        self.spare -= added

    def take(
        self,
        tokens: float,
        limit: limits.Limit,
        fraction: float,
        slack: float,
        now: ids.Instant,
    ) -> float:
        """Take tokens if any are left; return 0, or the seconds until there are.

        `fraction` is the share of the limit that this bucket enforces, `slack` the
        number of tokens beyond the limit that the operators allow in a window. A
        request may be larger than the burst and would never fit, so any positive level
        admits it, and the debt is paid off before the next request is admitted.
        """
        rate = limit.rate * fraction
        self.refill(rate, limit.burst * fraction, slack * fraction, now)
        if self.level > 0.0:
            self.level -= tokens
            return 0.0
        if self.fits_spare(tokens, slack * fraction):
            self.spare -= tokens
            return 0.0
        wait = -self.level / rate if rate > 0.0 else MAX_RETRY_SECONDS
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def fits_spare(self, tokens: float, slack: float) -> bool:
        """Return whether the spare bucket admits a request, whatever its size."""
        has_some = self.spare > slack * MIN_SLACK_FRACTION
        return has_some and tokens - self.spare <= slack * DEBT_SLACK_FRACTION

    def refill(self, rate: float, burst: float, slack: float, now: ids.Instant) -> None:
        """Add the tokens for the time since the last call."""
        added = rate * max(0.0, now - self.updated)
        self.level = min(burst, self.level + added)
        capacity = slack * SPARE_SLACK_FRACTION
        self.spare = min(capacity, self.spare + SPARE_RATE_FRACTION * added)
        self.updated = now
