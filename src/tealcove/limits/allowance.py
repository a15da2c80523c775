"""An entry's share of an account's limit, spent without a round trip."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.limits import limit, messages

# Seconds of its rate that an entry keeps; it returns the rest to the home, which lends
# it to the entries that need it.
KEEP_SECONDS = 1.0
# An entry asks for more once its credit is at most this fraction of what it was after
# the last lending.
LOW_FRACTION = 0.5
# The home has free tokens if it lends more than so many seconds of the entry's rate
# beyond what the entry has accrued.
MIN_LUMP_SECONDS = 0.25
MAX_RETRY_SECONDS = 60.0
MIN_RETRY_SECONDS = 1.0


class Allowance(msgspec.Struct):
    """The tokens of one account that an entry may spend."""

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
    # The credit after the last lending, the reference for asking for more.
    credit_when_lent: float = 0.0
    # Whether the home may have free tokens: it lent some the last time.
    home_has_more: bool = True

    def credit(self) -> float:
        """Return the tokens that may be spent now; below 0 it is a debt."""
        return self.lent - self.returned - self.spent

    def refill(self, now: ids.Instant) -> None:
        """Add the tokens for the time since the last call.

        Without messages from the home the last rate stays in force, capped at its
        share of the burst: an entry that is partitioned off is never unlimited.
        """
        added = self.rate * max(0.0, now - self.updated_at)
        capacity = self.limit.burst * self.rate / self.limit.rate
        room = max(0.0, capacity - self.credit())
        self.lent += min(added, room)
        self.updated_at = now

    def spend(self, tokens: float, now: ids.Instant) -> bool:
        """Spend tokens if there is any credit; return False if there is none.

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
        """Add tokens to those spent; a negative number refunds them."""
        self.spent += tokens

    def is_low(self) -> bool:
        """Return whether credit is low and the home may have free tokens."""
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
        """Adopt the home's figures, which include the tokens accrued so far."""
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
        """Return the usage to report to the home, with surplus credit returned."""
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
