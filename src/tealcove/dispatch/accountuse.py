"""Demand and use of slots by client account, measured by the dispatcher of a cell.

Demand is the slot time of arriving requests per second, or the number of requests that
run or wait if that is higher; use is the number of slots held. Both are slots. Within a
tier the slots that higher tiers leave are divided by water-filling, see `waterlevel`.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import accountshares, accounttier, messages

# Time constant in seconds of the demand. With 2 s, the line is full of a flood's
# tickets before its demand is seen; with 0.25 s, a gap between its arrivals looks like
# its end.
DEMAND_SECONDS = 0.75
# Seconds between two computations of the levels, and samples of the use.
LEVEL_INTERVAL = 0.05
# The name under which figures of accounts are summed up.
REST = ids.AccountId("")


class Figures(msgspec.Struct, frozen=True, array_like=True):
    """The demand and use of an account within a tier, in slots."""

    tier: int
    account: ids.AccountId
    demand: float
    use: float


class MeasuredShares(accountshares.AccountShares):
    """Shares of the slots of a cell, by what its dispatcher measures and is told."""

    def __init__(self, cell: ids.CellId, weights: accountshares.AccountWeights) -> None:
        self.cell = cell
        self.weights = weights
        self.tiers: dict[int, accounttier.Tier] = {}
        self.count_slots: accountshares.CountSlots = lambda now: 0.0
        self.find_waiting: accountshares.FindWaiting = tuple
        # Slots of the cells of the service that other dispatchers serve.
        self.slots_elsewhere = 0.0
        self.updated = ids.Instant(0.0)
        self.next_level = ids.Instant(0.0)

    def use_capacity(self, count_slots: accountshares.CountSlots) -> None:
        """See AccountShares."""
        self.count_slots = count_slots

    def use_line(self, find_waiting: accountshares.FindWaiting) -> None:
        """See AccountShares."""
        self.find_waiting = find_waiting

    def record_arrival(
        self, ticket: messages.Ticket, slot_seconds: float, now: ids.Instant
    ) -> None:
        """See AccountShares."""
        self.refresh(now)
        account = self.tier(ticket.tier_rank).account(ticket.account)
        account.demand += slot_seconds / DEMAND_SECONDS
        account.learn_run(slot_seconds)

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
        if account is None:
            return accountshares.WITHIN
        return account.found or account.standing()

    def tier(self, rank: int) -> accounttier.Tier:
        """Return a tier by its rank, a new one if it's unknown."""
        found = self.tiers.get(rank)
        if found is None:
            found = self.tiers[rank] = accounttier.Tier(rank)
        return found

    def refresh(self, now: ids.Instant) -> None:
        """Update averages and levels, unless they are recent."""
        if now < self.next_level:
            return
        self.next_level = ids.Instant(now + LEVEL_INTERVAL)
        seconds = max(0.0, now - self.updated)
        self.updated = now
        demand_part = math.exp(-seconds / DEMAND_SECONDS)
        use_part = math.exp(-seconds / accounttier.USE_SECONDS)
        self.count_waiting()
        left = self.count_slots(now) + self.slots_elsewhere
        for rank in sorted(self.tiers):
            tier = self.tiers[rank]
            tier.advance(demand_part, use_part)
            tier.divide(left, self.weights)
            tier.log_change(self.cell, left, now)
            left = max(0.0, left - tier.use())

    def count_waiting(self) -> None:
        """Count the waiting tickets of each account."""
        for tier in self.tiers.values():
            for account in tier.accounts.values():
                account.waiting = 0
        counts = collections.Counter(
            (ticket.tier_rank, ticket.account) for ticket in self.find_waiting()
        )
        for (rank, name), count in counts.items():
            self.tier(rank).account(name).waiting = count

    def is_contended(self) -> bool:
        """Tell whether the accounts of a tier demand more than there is."""
        return any(tier.level != math.inf for tier in self.tiers.values())

    def figures(self) -> tuple[Figures, ...]:
        """Return the demand and use of all accounts at this dispatcher."""
        return tuple(
            Figures(rank, name, account.wanted, account.use)
            for rank, tier in self.tiers.items()
            for name, account in tier.accounts.items()
            if max(account.wanted, account.use) >= accounttier.MIN_SLOTS
        )

    def seed(
        self, figures: Iterable[Figures], seconds: float, now: ids.Instant
    ) -> None:
        """Go on from the figures of an earlier dispatcher, which are so old.

        The demand isn't decayed: what arrived since the dispatcher died is sent again
        by the entries, and isn't counted as new. Slots held since are counted by the
        running tickets.
        """
        self.updated = now
        part = math.exp(-seconds / accounttier.USE_SECONDS)
        for one in figures:
            if one.account == REST:
                continue
            account = self.tier(one.tier).account(one.account)
            account.demand += one.demand
            account.average += one.use * part
            account.found = None

    def set_elsewhere(self, figures: Iterable[Figures], slots: float) -> None:
        """Set what is measured elsewhere in the service, and the slots there."""
        self.slots_elsewhere = slots
        self.next_level = ids.Instant(0.0)
        for tier in self.tiers.values():
            tier.reset_elsewhere()
        for one in figures:
            tier = self.tier(one.tier)
            if one.account == REST:
                tier.rest += one.demand
                continue
            account = tier.account(one.account)
            account.demand_elsewhere += one.demand
            account.use_elsewhere += one.use
            account.found = None


def summed_up(figures: tuple[Figures, ...], count: int) -> tuple[Figures, ...]:
    """Return the largest figures, and the sum of the others by tier under REST.

    The accounts left out are small, so that they are hardly over their shares, but
    their demand reduces the level of the others.
    """
    if len(figures) <= count:
        return figures
    ordered = sorted(figures, key=lambda one: max(one.demand, one.use), reverse=True)
    sums: dict[int, Figures] = {}
    for one in ordered[count:]:
        known = sums.get(one.tier, Figures(one.tier, REST, 0.0, 0.0))
        sums[one.tier] = Figures(
            one.tier, REST, known.demand + one.demand, known.use + one.use
        )
    return (*ordered[:count], *sums.values())
