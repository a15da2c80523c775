"""The home's book of an account: what each entry was lent and has spent."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.limits import limit, messages

# Part of the rate that is shared out evenly; the rest goes by demand. Without
# it, an entry whose callers come back after a pause would have nothing to start
# with.
EVEN_FRACTION = 0.1
# The weight of the latest report in an entry's demand.
DEMAND_WEIGHT = 0.5
# Part of the free tokens that goes to an entry in need; the rest is left for
# the others, which may ask at the same moment.
LUMP_FRACTION = 0.5
# A debt of the account is paid off in about so many seconds, by at most this
# fraction of the rate.
REPAY_SECONDS = 2.0
MAX_REPAID_FRACTION = 0.5
# An entry that was silent for so many seconds is struck off.
SILENT_SECONDS = 10.0
# Reports closer together than this say nothing of the demand's rate.
MIN_SPAN_SECONDS = 0.02


class Borrower(msgspec.Struct):
    """An entry, by its last report; amounts are in tokens."""

    opened: ids.Instant
    reported_at: ids.Instant
    lent: float
    spent: float
    wanted: float
    returned: float
    rate: float
    demand: float

    def credit(self) -> float:
        """Return what the entry may still spend."""
        return self.lent - self.returned - self.spent


class Ledger(msgspec.Struct):
    """An account at its home.

    The tokens are either free here or lent, and together never grow faster than
    the limit's rate nor beyond its burst.
    """

    limit: limit.Limit
    free: float
    updated: ids.Instant
    borrowers: dict[ids.InstanceId, Borrower]

    def refill(self, fraction: float, now: ids.Instant) -> None:
        """Add the tokens of the time since the last call.

        `fraction` is the fraction of the limit that this home may lend out. A silent
        entry is taken to go on with its share, as a cut-off one does.
        """
        span = max(0.0, now - self.updated)
        self.updated = now
        added = self.limit.rate * fraction * span
        for borrower in self.borrowers.values():
            borrower.lent += borrower.rate * span
            added -= borrower.rate * span
        lent = sum(max(0.0, b.credit()) for b in self.borrowers.values())
        most = max(0.0, self.limit.burst - lent)
        self.free = min(self.free + added, most)

    def record_usage(
        self,
        entry: ids.InstanceId,
        usage: messages.Usage,
        lender: str,
        now: ids.Instant,
    ) -> None:
        """Enter an entry's report; call `refill` first."""
        known = self.borrowers.get(entry)
        moved = usage.lender not in ("", lender)
        if known is None or known.opened != usage.opened or moved:
            known = self.add_borrower(entry, usage, lender, now)
        self.free += usage.returned - known.returned
        known.returned = usage.returned
        known.spent = usage.spent
        span = now - known.reported_at
        if span > MIN_SPAN_SECONDS:
            seen = max(0.0, usage.wanted - known.wanted) / span
            known.demand += DEMAND_WEIGHT * (seen - known.demand)
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
        """Enter a new entry, or one that another home has lent to.

        What another home lent stands: were it lent anew, each death of a home
        would double the burst.
        """
        if usage.lender in ("", lender):
            # What it spent before it had asked is lent as far as there is any.
            covered = min(max(0.0, usage.spent), max(0.0, self.free))
            self.free -= covered
            borrower = new_borrower(usage, covered + usage.returned, 0.0, now)
        else:
            self.free = min(self.free, 0.0)
            borrower = new_borrower(usage, usage.lent, usage.rate, now)
        self.borrowers[entry] = borrower
        return borrower

    def divide(self, fraction: float) -> None:
        """Divide the rate among the entries by their demand, less any debt."""
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
        """Return an entry's share, with some of the free tokens if it's short."""
        borrower = self.borrowers[entry]
        if self.free > 0.0 and borrower.credit() < borrower.rate:
            lump = self.free * LUMP_FRACTION
            self.free -= lump
            borrower.lent += lump
        return messages.Share(account, borrower.lent, borrower.rate)

    def drop_silent(self, now: ids.Instant) -> None:
        """Strike off entries that are long silent; their credit counts as spent."""
        for entry, borrower in list(self.borrowers.items()):
            if now - borrower.reported_at > SILENT_SECONDS:
                del self.borrowers[entry]

    def is_idle(self, now: ids.Instant) -> bool:
        """Tell whether a new book would say the same."""
        if self.borrowers:
            return False
        free = self.free + self.limit.rate * (now - self.updated)
        return free >= self.limit.burst


def new_borrower(
    usage: messages.Usage, lent: float, rate: float, now: ids.Instant
) -> Borrower:
    """Return an entry by its first report here."""
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
