"""The accounts of a tier, their demand and use of slots, and their shares."""

from __future__ import annotations

import math

import logbook
import msgspec

from tealcove import ids
from tealcove.dispatch import accountshares, waterlevel

log = logbook.Logger("dispatch")

# Time constant in seconds of the average use, which matters for calls that are shorter
# than a sample. A longer one holds an account back after its flood has ended.
USE_SECONDS = 0.5
# Running and waiting tickets for each slot from which on there is contention, whatever
# arrives. With 1, a load of 0.95 of the capacity often counts as contention, and 1% to
# 2% of its requests miss their goal for it.
LINE_FACTOR = 1.5
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


class Account(msgspec.Struct):
    """What is known of an account within a tier; in slots."""

    # The decayed slot time of arriving requests per second.
    demand: float = 0.0
    # Tickets that wait for a slot.
    waiting: int = 0
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
    def wanted(self) -> float:
        """Its demand here.

        Callers that send their next request after an answer never demand more by their
        arrivals than they get; what waits shows that they want more.
        """
        return max(self.demand, self.held + self.waiting)

    @property
    def total_demand(self) -> float:
        """Its demand at all dispatchers."""
        return self.wanted + self.demand_elsewhere

    @property
    def total_arriving(self) -> float:
        """Its demand at all dispatchers, by arrivals alone as far as known."""
        return self.demand + self.demand_elsewhere

    def is_idle(self) -> bool:
        """Tell whether it needn't be kept."""
        return self.total_demand < MIN_SLOTS and self.total_use < MIN_SLOTS

    def advance(self, demand_part: float, use_part: float) -> None:
        """Decay the averages; the arguments are the parts that remain."""
        self.demand *= demand_part
        self.average = self.held + (self.average - self.held) * use_part
        self.found = None

    def learn_run(self, seconds: float) -> None:
        """Learn from a request that will hold a slot for some seconds."""
        before = self.run_seconds or seconds
        self.run_seconds = before + OBSERVATION_WEIGHT * (seconds - before)

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
        # Summed demand of the accounts that other dispatchers don't name.
        self.rest = 0.0
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

    def reset_elsewhere(self) -> None:
        """Forget what was measured elsewhere."""
        self.rest = 0.0
        for account in self.accounts.values():
            account.demand_elsewhere = account.use_elsewhere = 0.0
            account.found = None

    def divide(self, capacity: float, weights: accountshares.AccountWeights) -> None:
        """Compute the level and the shares for so many slots."""
        capacity -= self.rest
        if not self.exceeds(capacity):
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

    def exceeds(self, capacity: float) -> bool:
        """Tell whether its accounts want more than there is.

        A short line alone is no contention: ordered by goal, its tickets are in time.
        """
        accounts = self.accounts.values()
        if sum(one.total_arriving for one in accounts) > capacity:
            return True
        wanted = sum(one.total_demand for one in accounts)
        return wanted > capacity * LINE_FACTOR

    def use(self) -> float:
        """Return the slots that its accounts use."""
        return sum(account.total_use for account in self.accounts.values())

    def log_change(self, cell: ids.CellId, slots: float, now: ids.Instant) -> None:
        """Log a change of contention and of the accounts that want more than a share.

        Who is over at an instant changes with each grant, who demands more doesn't.
        """
        is_contended = self.level != math.inf
        claimants = frozenset(
            name
            for name, account in self.accounts.items()
            if account.total_demand > account.share
        )
        known = (self.is_contended, self.claimants)
        if (is_contended, claimants) == known or now < self.logged_at + LOG_INTERVAL:
            return
        self.is_contended, self.claimants, self.logged_at = is_contended, claimants, now
        if not is_contended:
            log.info("accounts of {} tier {}: all demand fits", cell, self.rank)
            return
        named = sorted(claimants)[:NAMED_ACCOUNTS]
        others = len(claimants) - len(named)
        log.info(
            "accounts of {} tier {} contend: {:.1f} slots for them, level {:.2f}, "
            "over their shares: {}{}",
            cell,
            self.rank,
            slots,
            self.level,
            ", ".join(named),
            f" and {others} more" if others else "",
        )
