"""The serving instances: homes of accounts, and how many may be unreachable."""

from __future__ import annotations

from collections.abc import Callable

from tealcove import ids
from tealcove.membership import members, messages, ranking

# Seconds for which instances that stopped responding count as partitioned: network
# partitions between regions can last an hour.
LOST_SECONDS = 3900.0
# Up to this fraction of the instances may be silent and count as dead. If more are
# silent, they are assumed to be alive beyond a network partition, with homes there.
MAX_DEAD_FRACTION = 0.25
# Seconds from its start for which an instance counts those that the platform lists as
# alive and not yet discovered: discovery takes 1.3 s with 87 that all start at once.
DISCOVERY_SECONDS = 3.0
# Instances that are asked, in order of rank, before an entry counts locally. After six
# of ten have died at once, at least one of six is alive in 95 of 100 cases.
MAX_CANDIDATES = 6
# Accounts whose ranking is cached until the set of instances changes; ranking computes
# one hash for each instance, too costly for each account and report.
MAX_CACHED_RANKINGS = 5000


class Presence:
    """Tracks the serving instances and ranks them for each account."""

    def __init__(
        self,
        known: members.Members,
        now: ids.Instant,
        count_listed: Callable[[], int] | None = None,
    ) -> None:
        self.members = known
        self.started_at = now
        # Returns the number of instances the platform lists; 0: not known yet.
        self.count_listed = count_listed
        self.stale = True
        known.listen(self.mark_stale)
        self.rankings: dict[ids.AccountId, tuple[ids.InstanceId, ...]] = {}
        # When the set of serving instances last changed.
        self.changed_at = now
        self.serving: set[ids.InstanceId] = set()
        self.lost: dict[ids.InstanceId, ids.Instant] = {}

    def mark_stale(self) -> None:
        """Have the next `refresh` read the set of serving instances."""
        self.stale = True

    def refresh(self, now: ids.Instant) -> None:
        """Update the set of serving instances, if it has changed."""
        if not self.stale:
            return
        self.stale = False
        serving = {heartbeat.instance for heartbeat in self.members.serving(now)}
        if serving == self.serving:
            return
        for instance in self.serving - serving:
            if self.fell_silent(instance):
                self.lost[instance] = now
        for instance in serving:
            self.lost.pop(instance, None)
        self.serving = serving
        self.changed_at = now
        self.rankings.clear()

    def fell_silent(self, instance: ids.InstanceId) -> bool:
        """Return whether an instance vanished without announcing that it leaves."""
        heartbeat = self.members.find(instance)
        if heartbeat is None:
            return True
        return heartbeat.lifecycle is messages.Lifecycle.SERVING

    def count(self) -> int:
        """Return the number of serving instances, at least 1."""
        return max(1, len(self.serving))

    def count_lost(self, now: ids.Instant) -> int:
        """Return the number of instances that may be alive beyond a partition."""
        return sum(1 for since in self.lost.values() if now - since < LOST_SECONDS)

    def count_possible(self, now: ids.Instant) -> int:
        """Return how many instances may be running, this one among them.

        Counts those that are silent, since they may be alive beyond a partition, those
        that left so recently that they are still known, and those on the platform's
        list, of which a process knows none when it starts within a partition.
        """
        self.refresh(now)
        silent = sum(
            1
            for instance, since in self.lost.items()
            if now - since < LOST_SECONDS and instance not in self.members.peers
        )
        listed = 0 if self.count_listed is None else self.count_listed()
        return max(1 + len(self.members.peers) + silent, listed)

    def home(self, account: ids.AccountId) -> ids.InstanceId | None:
        """Return the home of an account, or None when no instance serves."""
        return next(iter(self.ranked(account)), None)

    def ranked(self, account: ids.AccountId) -> tuple[ids.InstanceId, ...]:
        """Return the home of an account and its stand-ins, in order of rank."""
        found = self.rankings.get(account, ())
        if found or not self.serving:
            return found
        found = tuple(ranking.rank(f"account/{account}", self.serving)[:MAX_CANDIDATES])
        if len(self.rankings) >= MAX_CACHED_RANKINGS:
            self.rankings.clear()
        self.rankings[account] = found
        return found

    def count_undiscovered(self, now: ids.Instant) -> int:
        """Return the number of listed instances not discovered yet after a start.

        After a restart of all instances, each knows only itself for a moment and is
        the home of every account: 57 of 87 admitted the requests of one account, each
        up to half of a burst and the whole rate.
        """
        if self.count_listed is None or now - self.started_at > DISCOVERY_SECONDS:
            return 0
        return max(0, self.count_listed() - self.count())

    def lendable_fraction(self, now: ids.Instant) -> float:
        """Return the fraction of a limit that homes on this side may grant.

        If it were always 1, a deployment partitioned in two would give each account
        twice its limit.
        """
        lost = self.count_lost(now)
        total = self.count() + lost
        undiscovered = self.count_undiscovered(now)
        if undiscovered > 0:
            return self.count() / (self.count() + undiscovered)
        if lost <= MAX_DEAD_FRACTION * total:
            return 1.0
        return self.count() / total
