"""The home's ledger of an account: what each entry was lent and has spent."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.limits import limit, messages

# Fraction of the rate that is divided evenly; the rest is divided by demand. Without
# it, an entry whose callers resume after a pause would have no tokens to start with.
EVEN_FRACTION = 0.1
# The weight of the latest report in the moving average of an entry's demand.
DEMAND_WEIGHT = 0.5
# Fraction of the free tokens lent to an entry that runs low; the rest stays for the
# others, which may ask at the same moment.
LUMP_FRACTION = 0.5
# A debt of the account is repaid in about so many seconds, by at most this fraction of
# the rate.
REPAY_SECONDS = 2.0
MAX_REPAID_FRACTION = 0.5
# An entry that hasn't reported for so many seconds is removed.
SILENT_SECONDS = 10.0
# Reports closer together than this are too close to estimate the demand's rate.
MIN_SPAN_SECONDS = 0.02


class Borrower(msgspec.Struct):
    """An entry's figures, in tokens, as of its last report."""

    opened: ids.Instant
    reported_at: ids.Instant
    lent: float
    spent: float
    wanted: float
    returned: float
    rate: float
    demand: float

    def credit(self) -> float:
        """Return the tokens that the entry may still spend."""
        return self.lent - self.returned - self.spent


class Ledger(msgspec.Struct):
    """The tokens of an account at its home.

    They are either free or lent, and together accrue no faster than the limit's rate
    and never exceed its burst.
    """

    limit: limit.Limit
    free: float
    updated: ids.Instant
    borrowers: dict[ids.InstanceId, Borrower]

    def refill(self, fraction: float, now: ids.Instant) -> None:
        """Add the tokens for the time since the last call.

        `fraction` is the fraction of the limit that this home may lend out. A silent
        entry is assumed to keep spending its share, as a partitioned one does.
        """
        span = max(0.0, now - self.updated)
        self.updated = now
        added = self.limit.rate * fraction * span
        for borrower in self.borrowers.values():
            borrower.lent += borrower.rate * span
            added -= borrower.rate * span
        lent = sum(max(0.0, b.credit()) for b in self.borrowers.values())
        capacity = max(0.0, self.limit.burst - lent)
        self.free = min(self.free + added, capacity)

    def record_usage(
        self,
        entry: ids.InstanceId,
        usage: messages.Usage,
        lender: str,
        now: ids.Instant,
    ) -> None:
        """Record an entry's report; call `refill` first."""
        known = self.borrowers.get(entry)
        from_other_home = usage.lender not in ("", lender)
        if known is None or known.opened != usage.opened or from_other_home:
            known = self.add_borrower(entry, usage, lender, now)
        self.free += usage.returned - known.returned
        known.returned = usage.returned
        known.spent = usage.spent
        span = now - known.reported_at
        if span > MIN_SPAN_SECONDS:
            rate_wanted = max(0.0, usage.wanted - known.wanted) / span
            known.demand += DEMAND_WEIGHT * (rate_wanted - known.demand)
            known.wanted = usage.wanted
            known.reported_at = now
        if usage.closing:
            self.free += known.credit()
            del self.borrowers[entry]

    def add_borrower(
        self,
        entry: ids.InstanceId,
        usage: messages.Usage,
        lender: str,
        now: ids.Instant,
    ) -> Borrower:
        """Add an entry that is new, or that another home has lent to.

        What another home lent is carried over: if it were lent again, each failure of
        a home would double the burst.
        """
        if usage.lender in ("", lender):
            # Lend the tokens it spent before its first report, as far as available.
            covered = min(max(0.0, usage.spent), max(0.0, self.free))
            self.free -= covered
            borrower = new_borrower(usage, covered + usage.returned, 0.0, now)
        else:
            self.free = min(self.free, 0.0)
            borrower = new_borrower(usage, usage.lent, usage.rate, now)
        self.borrowers[entry] = borrower
        return borrower

    def divide(self, fraction: float) -> None:
        """Divide the rate, less debt repayment, among the entries by their demand."""
        rate = self.limit.rate * fraction
        if self.free < 0.0:
            rate -= min(rate * MAX_REPAID_FRACTION, -self.free / REPAY_SECONDS)
        total = sum(borrower.demand for borrower in self.borrowers.values())
        even = 1.0 / max(1, len(self.borrowers))
        for borrower in self.borrowers.values():
            by_demand = borrower.demand / total if total > 0.0 else even
            share = EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * by_demand
            borrower.rate = rate * share

    def lend(self, entry: ids.InstanceId, account: ids.AccountId) -> messages.Share:
        """Return an entry's share, with some of the free tokens if it runs low."""
        borrower = self.borrowers[entry]
        if self.free > 0.0 and borrower.credit() < borrower.rate:
            lump = self.free * LUMP_FRACTION
            self.free -= lump
            borrower.lent += lump
        return messages.Share(account, borrower.lent, borrower.rate)

    def drop_silent(self, now: ids.Instant) -> None:
        """Remove entries that stopped reporting; their credit counts as spent."""
        for entry, borrower in list(self.borrowers.items()):
            if now - borrower.reported_at > SILENT_SECONDS:
                del self.borrowers[entry]

    def is_idle(self, now: ids.Instant) -> bool:
        """Return whether the ledger equals a new one: no borrowers and a full burst."""
        if self.borrowers:
            return False
        free = self.free + self.limit.rate * (now - self.updated)
        return free >= self.limit.burst


def new_borrower(
    usage: messages.Usage, lent: float, rate: float, now: ids.Instant
) -> Borrower:
    """Return the borrower for an entry's first report to this home."""
    return Borrower(
        opened=usage.opened,
        reported_at=now,
        lent=lent,
        spent=usage.spent,
        wanted=usage.wanted,
        returned=usage.returned,
        rate=rate,
        demand=usage.rate,
    )
