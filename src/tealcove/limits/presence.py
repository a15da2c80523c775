"""Which instances serve: the homes of accounts, and how many are out of reach."""

from __future__ import annotations

from collections.abc import Callable

from tealcove import ids
from tealcove.membership import members, messages, ranking

# Seconds for which instances that fell silent count as cut off: regions lose
# each other for an hour now and then.
LOST_SECONDS = 3900.0
# Up to this part of the instances may be silent and count as dead. More of them
# are taken to live on beyond a cut, and to have homes of their own there.
MAX_DEAD_FRACTION = 0.25
# Seconds from its start for which an instance takes those that the platform lists for
# living ones that it hasn't heard of yet: some 1.3 s with 87 that all start at once.
DISCOVERY_SECONDS = 3.0
# Instances that are asked, in order of rank, before an entry counts by itself. After
# six of ten died at once, one of so many lives in 95 of 100 cases.
MAX_CANDIDATES = 6
# Homes that are remembered between two changes of the set of instances; ranking
# hashes once for each instance, too often for each account and report.
MAX_CACHED_RANKINGS = 5000


class Presence:
    """The serving instances, as the limits need to know them."""

    def __init__(
        self,
        known: members.Members,
        now: ids.Instant,
        count_listed: Callable[[], int] | None = None,
    ) -> None:
        self.members = known
        self.started_at = now
        # Returns how many instances the platform lists; 0: not known yet.
        self.count_listed = count_listed
        self.stale = True
        known.listen(self.mark_stale)
        self.rankings: dict[ids.AccountId, tuple[ids.InstanceId, ...]] = {}
        # When the set of serving instances last changed.
        self.changed_at = now
        self.serving: set[ids.InstanceId] = set()
        self.lost: dict[ids.InstanceId, ids.Instant] = {}

    def mark_stale(self) -> None:
        """Have the set of serving instances looked at again."""
        self.stale = True

    def refresh(self, now: ids.Instant) -> None:
        """Take in the set of serving instances, if it has changed."""
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
        """Tell whether an instance went without saying that it would."""
        heartbeat = self.members.find(instance)
        if heartbeat is None:
            return True
        return heartbeat.lifecycle is messages.Lifecycle.SERVING

    def count(self) -> int:
        """Return the number of serving instances, at least 1."""
        return max(1, len(self.serving))

    def count_lost(self, now: ids.Instant) -> int:
        """Return the number of instances that may live on beyond a cut."""
        return sum(1 for since in self.lost.values() if now - since < LOST_SECONDS)

    def home(self, account: ids.AccountId) -> ids.InstanceId | None:
        """Return the home of an account; None when no instance serves."""
        return next(iter(self.ranked(account)), None)

    def ranked(self, account: ids.AccountId) -> tuple[ids.InstanceId, ...]:
        """Return the home of an account and those that stand in for it, in order."""
        found = self.rankings.get(account, ())
        if found or not self.serving:
            return found
        found = tuple(ranking.rank(f"account/{account}", self.serving)[:MAX_CANDIDATES])
        if len(self.rankings) >= MAX_CACHED_RANKINGS:
            self.rankings.clear()
        self.rankings[account] = found
        return found

    def count_undiscovered(self, now: ids.Instant) -> int:
        """Return the number of instances that one which has just begun may not know.

        After all instances were restarted, each knew itself alone for a moment, and was
        the home of every account: 57 of 87 let the requests of one account pass, each
        up to half of a burst and the whole rate.
        """
        if self.count_listed is None or now - self.started_at > DISCOVERY_SECONDS:
            return 0
        return max(0, self.count_listed() - self.count())

    def lendable_fraction(self, now: ids.Instant) -> float:
        """Return the part of a limit that homes on this side may lend out.

        Were it always the whole, a deployment cut in two would give each account
        twice its limit.
        """
        lost = self.count_lost(now)
        total = self.count() + lost
        unheard = self.count_undiscovered(now)
        if unheard > 0:
            return self.count() / (self.count() + unheard)
        if lost <= MAX_DEAD_FRACTION * total:
            return 1.0
        return self.count() / total
