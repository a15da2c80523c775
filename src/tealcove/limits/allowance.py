"""An entry's part of an account's limit, spent without asking anybody."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.limits import limit, messages

# Seconds of its share that an entry keeps; what is beyond goes back to the
# home, where the entries that need it get it.
KEEP_SECONDS = 1.0
# An entry asks for more once it has spent this part of what it had.
LOW_FRACTION = 0.5
# What the home lends beyond its entry's share counts as a lump from here on.
MIN_LUMP_SECONDS = 0.25
MAX_RETRY_SECONDS = 60.0
MIN_RETRY_SECONDS = 1.0


class Allowance(msgspec.Struct):
    """What an entry may spend of one account; amounts are in tokens."""

    limit: limit.Limit
    rate: float
    opened_at: ids.Instant
    used_at: ids.Instant
    updated_at: ids.Instant
    lent: float = 0.0
    spent: float = 0.0
    wanted: float = 0.0
    returned: float = 0.0
    lender: str = ""
    # The credit at the last lending, which tells when to ask for more.
    credit_when_lent: float = 0.0
    # Whether the home may have more: it lent some the last time.
    home_has_more: bool = True

    def credit(self) -> float:
        """Return what may be spent now; below 0 it is a debt."""
        return self.lent - self.returned - self.spent

    def refill(self, now: ids.Instant) -> None:
        """Add the share of the time since the last call.

        Without news from the home this goes on at the last share, up to its
        part of the burst: an entry that is cut off is never unlimited.
        """
        added = self.rate * max(0.0, now - self.updated_at)
        most = self.limit.burst * self.rate / self.limit.rate
        room = max(0.0, most - self.credit())
        self.lent += min(added, room)
        self.updated_at = now

    def spend(self, tokens: float, now: ids.Instant) -> bool:
        """Take tokens if there is any credit; False if there is none.

        A request larger than the credit is admitted on debt, since its size is
        only a prediction, and one larger than the whole share would never fit.
        Debts are paid off before anything else is admitted.
        """
        self.refill(now)
        self.used_at = now
        self.wanted += tokens
        if self.credit() <= 0.0:
            return False
        self.spent += tokens
        return True

    def correct(self, tokens: float) -> None:
        """Add tokens to what was spent; a negative number gives them back."""
        self.spent += tokens

    def is_low(self) -> bool:
        """Tell whether it's time to ask for more, and of any use."""
        return (
            self.home_has_more and self.credit() <= self.credit_when_lent * LOW_FRACTION
        )

    def retry_after(self) -> float:
        """Return the seconds until there is credit again."""
        if self.rate <= 0.0:
            return MAX_RETRY_SECONDS
        wait = -self.credit() / self.rate
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def apply_share(self, lender: str, share: messages.Share, now: ids.Instant) -> None:
        """Take over what the home says; it counts the share's growth too."""
        self.refill(now)
        self.home_has_more = share.lent > self.lent + share.rate * MIN_LUMP_SECONDS
        self.lender = lender
        self.lent = share.lent
        self.rate = share.rate
        self.updated_at = now
        self.credit_when_lent = max(0.0, self.credit())

    def report(
        self, account: ids.AccountId, now: ids.Instant, closing: bool
    ) -> messages.Usage:
        """Return what the home is told; gives back what isn't needed."""
        self.refill(now)
        kept = 0.0 if closing else self.rate * KEEP_SECONDS
        self.returned += max(0.0, self.credit() - kept)
        return messages.Usage(
            account=account,
            opened=self.opened_at,
            spent=self.spent,
            wanted=self.wanted,
            returned=self.returned,
            lender=self.lender,
            lent=self.lent,
            rate=self.rate,
            closing=closing,
        )
