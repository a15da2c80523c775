"""A token bucket, with a small spare one for what falls just beyond the limit."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.limits import limit as limits

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 60.0
# The spare bucket grows by this part of the rate. Two instances see two requests in
# another order than they were sent in, and a request that would have fitted a moment
# earlier is refused; the operators allow a tenth beyond the limit, and a fixed amount
# besides, the slack. It's kept apart, so that what it lets pass never takes the place
# of what is within the limit.
SPARE_RATE_FRACTION = 0.1
# It holds up to the first part of the slack, lets requests pass from the second part
# on, and its debt may be the third; what is left is for the main bucket's own debt, one
# request. Where it held 1.5 s of the rate, 250,000 tokens for an account of 169,000 a
# second, such an account got 1.04 to 1.07 times what the operators allow in a window of
# 8 s, .92 to .96 since (virtual time, three seeds, three times the limit after a
# pause). Without a debt only small requests fit: of an account that sends three times
# its limit, .87 of the requests of a thirtieth of the rate passed and .33 of those that
# are twenty times as large; .37 and .37 since (virtual time, ten minutes).
SPARE_SLACK_FRACTION = 0.25
MIN_SLACK_FRACTION = 0.02
DEBT_SLACK_FRACTION = 0.4


class Bucket(msgspec.Struct):
    """What an account may still use, in tokens; a level below 0 is a debt."""

    level: float
    updated: ids.Instant
    spare: float = 0.0
    # The fraction of the limit for which `add_unsettled_burst` has added something.
    opened_fraction: float = 1.0

    @classmethod
    def unsettled(cls, now: ids.Instant) -> Bucket:
        """Return one that begins while another one may have let the rest pass."""
        return cls(0.0, now, opened_fraction=0.0)

    def add_unsettled_burst(self, burst: float, fraction: float) -> None:
        """Add what an unsettled bucket begins with, as its fraction of the limit grows.

        What it begins with may be beyond the limit, and is taken from what the spare
        would add: in a window in which its home dies, an account that sends three times
        its limit gets .95 to .96 of what the operators allow, .98 to 1.00 without.
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
        """Take tokens if there are any; return 0, or the seconds until there are.

        `fraction` is that of the limit that this bucket stands for, `slack` how many
        tokens beyond the limit the operators allow in a window. A request may
        be larger than the burst, so that it would never fit: whatever is left lets
        the next one pass, and the debt is paid off before others do.
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
        """Tell whether a request passes by the spare bucket, whatever its size."""
        has_some = self.spare > slack * MIN_SLACK_FRACTION
        return has_some and tokens - self.spare <= slack * DEBT_SLACK_FRACTION

    def refill(self, rate: float, burst: float, slack: float, now: ids.Instant) -> None:
        """Add the tokens of the time since the last call."""
        added = rate * max(0.0, now - self.updated)
        self.level = min(burst, self.level + added)
        most = slack * SPARE_SLACK_FRACTION
        self.spare = min(most, self.spare + SPARE_RATE_FRACTION * added)
        self.updated = now
