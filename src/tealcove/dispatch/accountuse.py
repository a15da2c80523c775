"""Demand and use of slots by client account, and who is over its fair share.

Demand is the slot time of arriving requests per second, use is the number of slots
held; both are slots. Within a tier the slots that higher tiers leave are divided by
water-filling, see `waterlevel`.
"""

from __future__ import annotations

import math

import logbook
import msgspec

from tealcove import ids
from tealcove.dispatch import accountshares, messages, waterlevel

log = logbook.Logger("dispatch")

# Time constant in seconds of the demand. With 2 s, the line is full of a flood's
# tickets before its demand is seen; with 0.25 s, a gap between its arrivals looks like
# its end.
DEMAND_SECONDS = 0.75
# Time constant in seconds of the average use, which matters for calls that are shorter
# than a sample. A longer one holds an account back after its flood has ended.
USE_SECONDS = 0.5
# Seconds between two computations of the levels, and samples of the use.
LEVEL_INTERVAL = 0.05
# An account with a demand and use below this many slots is forgotten.
MIN_SLOTS = 0.001
# Lower bound in slots of a share that a use is compared with: a tier may have none.
MIN_SHARE = 0.1
# Weight of a new request in the mean slot time of an account.
OBSERVATION_WEIGHT = 0.2
# Seconds between two log lines on one tier.
LOG_INTERVAL = 5.0
# Accounts that a log line names.
NAMED_ACCOUNTS = 8


class Figures(msgspec.Struct, frozen=True, array_like=True):
    """The demand and use of an account within a tier, in slots."""

    tier: int
    account: ids.AccountId
    demand: float
    use: float


class Account(msgspec.Struct):
    """What is known of an account within a tier; in slots."""

    demand: float = 0.0
    # Slots held now, and their decayed average.
    held: int = 0
    average: float = 0.0
    # Its demand and use at other dispatchers.
    demand_elsewhere: float = 0.0
    use_elsewhere: float = 0.0
    # Level times weight; infinite without contention.
    share: float = math.inf
    # Mean seconds for which its requests hold a slot.
    run_seconds: float = 0.0
    # Its standing, until something changes.
    found: accountshares.Standing | None = None

    @property
    def use(self) -> float:
        """The slots that it uses here.

        The maximum, and not a mean, of present and average use: otherwise an account
        that was idle could hold more than its share for a while.
        """
        return max(self.held, self.average)

    @property
    def total_use(self) -> float:
        """The slots that it uses at all dispatchers."""
        return self.use + self.use_elsewhere

    @property
    def total_demand(self) -> float:
        """Its demand at all dispatchers."""
        return self.demand + self.demand_elsewhere

    def is_idle(self) -> bool:
        """Tell whether it needn't be kept."""
        return self.total_demand < MIN_SLOTS and self.total_use < MIN_SLOTS

    def advance(self, demand_part: float, use_part: float) -> None:
        """Decay the averages; the arguments are the parts that remain."""
        self.demand *= demand_part
        self.average = self.held + (self.average - self.held) * use_part
        self.found = None

    def standing(self) -> accountshares.Standing:
        """Return how its use compares with its share."""
        if self.found is None:
            excess = self.total_use / max(MIN_SHARE, self.share)
            self.found = accountshares.WITHIN
            if excess > 1.0:
                self.found = accountshares.Standing(excess, self.seconds_over())
        return self.found

    def seconds_over(self) -> float:
        """Return the seconds until its use is within its share, without new grants."""
        share = max(MIN_SHARE, self.share)
        held = self.held + self.use_elsewhere
        average = self.average + self.use_elsewhere
        # Its runs end evenly over their time.
        to_release = self.run_seconds * (1.0 - share / held) if held > share else 0.0
        to_decay = USE_SECONDS * math.log(average / share) if average > share else 0.0
        return max(to_release, to_decay)


class Tier:
    """The accounts of one tier and their level."""

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.accounts: dict[ids.AccountId, Account] = {}
        self.level = math.inf
        # What was last logged, and when.
        self.is_contended = False
        self.claimants: frozenset[ids.AccountId] = frozenset()
        self.logged_at = ids.Instant(-math.inf)

    def account(self, name: ids.AccountId) -> Account:
        """Return the record of an account, a new one if it's unknown."""
        found = self.accounts.get(name)
        if found is None:
            found = self.accounts[name] = Account()
        return found

    def advance(self, demand_part: float, use_part: float) -> None:
        """Decay all averages and drop idle accounts."""
        for account in self.accounts.values():
            account.advance(demand_part, use_part)
        for name in [n for n, a in self.accounts.items() if a.is_idle()]:
            del self.accounts[name]

    def divide(self, capacity: float, weights: accountshares.AccountWeights) -> None:
        """Compute the level and the shares for so many slots."""
        demand = sum(one.total_demand for one in self.accounts.values())
        if demand <= capacity:
            if self.level != math.inf:
                self.level = math.inf
                for account in self.accounts.values():
                    account.share = math.inf
            return
        found = {name: weights.weight(name) for name in self.accounts}
        claims = [
            waterlevel.Claim(account.total_demand, found[name])
            for name, account in self.accounts.items()
        ]
        self.level = waterlevel.level(claims, capacity)
        for name, account in self.accounts.items():
            account.share = self.level * found[name]

    def use(self) -> float:
        """Return the slots that its accounts use."""
        return sum(account.total_use for account in self.accounts.values())


class MeasuredShares(accountshares.AccountShares):
    """Shares of the slots of a cell, by what its dispatcher measures and is told."""

    def __init__(self, cell: ids.CellId, weights: accountshares.AccountWeights) -> None:
        self.cell = cell
        self.weights = weights
        self.tiers: dict[int, Tier] = {}
        self.count_slots: accountshares.CountSlots = lambda now: 0.0
        # Slots of the cells of the service that other dispatchers serve.
        self.slots_elsewhere = 0.0
        self.updated = ids.Instant(0.0)
        self.next_level = ids.Instant(0.0)

    def use_capacity(self, count_slots: accountshares.CountSlots) -> None:
        """See AccountShares."""
        self.count_slots = count_slots

    def record_arrival(
        self, ticket: messages.Ticket, slot_seconds: float, now: ids.Instant
    ) -> None:
        """See AccountShares."""
        self.refresh(now)
        account = self.tier(ticket.tier_rank).account(ticket.account)
        account.demand += slot_seconds / DEMAND_SECONDS
        before = account.run_seconds or slot_seconds
        account.run_seconds = before + OBSERVATION_WEIGHT * (slot_seconds - before)

    def record_start(self, ticket: messages.Ticket) -> None:
        """See AccountShares."""
        account = self.tier(ticket.tier_rank).account(ticket.account)
        account.held += 1
        account.found = None

    def record_release(self, ticket: messages.Ticket) -> None:
        """See AccountShares."""
        account = self.tier(ticket.tier_rank).account(ticket.account)
        account.held -= 1
        account.found = None

    def standing(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> accountshares.Standing:
        """See AccountShares."""
        if now >= self.next_level:
            self.refresh(now)
        tier = self.tiers.get(ticket.tier_rank)
        if tier is None or tier.level == math.inf:
            return accountshares.WITHIN
        account = tier.accounts.get(ticket.account)
        return accountshares.WITHIN if account is None else account.standing()

    def tier(self, rank: int) -> Tier:
        """Return a tier by its rank, a new one if it's unknown."""
        found = self.tiers.get(rank)
        if found is None:
            found = self.tiers[rank] = Tier(rank)
        return found

    def refresh(self, now: ids.Instant) -> None:
        """Update averages and levels, unless they are recent."""
        if now < self.next_level:
            return
        self.next_level = ids.Instant(now + LEVEL_INTERVAL)
        seconds = max(0.0, now - self.updated)
        self.updated = now
        demand_part = math.exp(-seconds / DEMAND_SECONDS)
        use_part = math.exp(-seconds / USE_SECONDS)
        left = self.count_slots(now) + self.slots_elsewhere
        for rank in sorted(self.tiers):
            tier = self.tiers[rank]
            tier.advance(demand_part, use_part)
            tier.divide(left, self.weights)
            self.log_change(tier, left, now)
            left = max(0.0, left - tier.use())

    def is_contended(self) -> bool:
        """Tell whether the accounts of a tier demand more than there is."""
        return any(tier.level != math.inf for tier in self.tiers.values())

    def figures(self) -> tuple[Figures, ...]:
        """Return the demand and use of all accounts at this dispatcher."""
        return tuple(
            Figures(rank, name, account.demand, account.use)
            for rank, tier in self.tiers.items()
            for name, account in tier.accounts.items()
        )

    def seed(self, figures: tuple[Figures, ...], seconds: float) -> None:
        """Go on from the figures of an earlier dispatcher, which are so old."""
        for one in figures:
            account = self.tier(one.tier).account(one.account)
            account.demand += one.demand * math.exp(-seconds / DEMAND_SECONDS)
            account.average += one.use * math.exp(-seconds / USE_SECONDS)
            account.found = None

    def log_change(self, tier: Tier, slots: float, now: ids.Instant) -> None:
        """Log a change of contention and of the accounts that want more than a share.

        Who is over at an instant changes with each grant, who demands more doesn't.
        """
        is_contended = tier.level != math.inf
        claimants = frozenset(
            name
            for name, account in tier.accounts.items()
            if account.total_demand > account.share
        )
        known = (tier.is_contended, tier.claimants)
        if (is_contended, claimants) == known or now < tier.logged_at + LOG_INTERVAL:
            return
        tier.is_contended, tier.claimants, tier.logged_at = is_contended, claimants, now
        if not is_contended:
            log.info("accounts of {} tier {}: all demand fits", self.cell, tier.rank)
            return
        named = sorted(claimants)[:NAMED_ACCOUNTS]
        others = len(claimants) - len(named)
        log.info(
            "accounts of {} tier {} contend: {:.1f} slots for them, level {:.2f}, "
            "over their shares: {}{}",
            self.cell,
            tier.rank,
            slots,
            tier.level,
            ", ".join(named),
            f" and {others} more" if others else "",
        )
