"""The ledgers of all accounts whose home is this instance."""

from __future__ import annotations

from collections.abc import Callable

from tealcove import ids
from tealcove.limits import ledger, limit, messages, presence

# For so many seconds after the set of serving instances has changed, a new ledger
# starts with no free tokens: the former home may have lent the burst already, and its
# entries have yet to report it.
SETTLE_SECONDS = 10.0
# Seconds between two searches for idle ledgers.
SWEEP_INTERVAL = 5.0

FindLimit = Callable[[ids.AccountId], limit.Limit | None]


class Home:
    """Lends out the limits of the accounts that rank this instance first."""

    def __init__(
        self, lender: str, present: presence.Presence, find_limit: FindLimit
    ) -> None:
        self.lender = lender
        self.presence = present
        self.find_limit = find_limit
        self.ledgers: dict[ids.AccountId, ledger.Ledger] = {}
        self.swept_at = ids.Instant(0.0)

    def answer(
        self, entry: ids.InstanceId, report: messages.UsageReport, now: ids.Instant
    ) -> messages.Lending:
        """Record a report and return what the entry may spend from now on."""
        fraction = self.presence.lendable_fraction(now)
        shares = []
        for usage in report.usages:
            share = self.record_usage(entry, usage, fraction, now)
            if share is not None:
                shares.append(share)
        self.sweep(now)
        return messages.Lending(lender=self.lender, shares=tuple(shares))

    def record_usage(
        self,
        entry: ids.InstanceId,
        usage: messages.Usage,
        fraction: float,
        now: ids.Instant,
    ) -> messages.Share | None:
        """Record the use of one account; return None if there is nothing to lend."""
        found = self.find_limit(usage.account)
        if found is None:
            return None
        held = self.open_ledger(usage.account, found, now)
        held.refill(fraction, now)
        held.record_usage(entry, usage, self.lender, now)
        held.drop_silent(now)
        held.divide(fraction)
        if usage.closing:
            return None
        return held.lend(entry, usage.account)

    def open_ledger(
        self, account: ids.AccountId, found: limit.Limit, now: ids.Instant
    ) -> ledger.Ledger:
        """Return the ledger of an account, with the limit now in force."""
        held = self.ledgers.get(account)
        if held is None:
            settled = now - self.presence.changed_at >= SETTLE_SECONDS
            free = found.burst if settled else 0.0
            held = ledger.Ledger(found, free, now, {})
            self.ledgers[account] = held
        held.limit = found
        return held

    def sweep(self, now: ids.Instant) -> None:
        """Delete idle ledgers."""
        if now - self.swept_at < SWEEP_INTERVAL:
            return
        self.swept_at = now
        for account, held in list(self.ledgers.items()):
            held.drop_silent(now)
            if held.is_idle(now):
                del self.ledgers[account]
