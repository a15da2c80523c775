"""Plan of the slot time that refused callers are promised when they return."""

from __future__ import annotations

import collections
import math

from tealcove import ids

# Seconds. Shorter intervals than this gain nothing, since callers' ways take some
# milliseconds, and a slot is held for longer; further ahead, free slots can't be
# predicted.
INTERVAL = 0.1
HORIZON = 5.0
# Part of the slots that are left by higher tiers, promised to returns however much work
# arrives. Returns go before requests in time, of which this part is displaced.
PROMISED_SHARE = 0.05
# Slot seconds below which an interval counts as full.
EPSILON = 1e-6


class ReturnPlan:
    """Slot seconds that are promised, by tier and interval."""

    def __init__(self) -> None:
        self.reserved: dict[int, dict[int, float]] = collections.defaultdict(
            lambda: collections.defaultdict(float)
        )
        self.first = 0

    def reserve(
        self,
        tier: int,
        work: float,
        slots: float,
        earliest: ids.Instant,
        latest: ids.Instant,
    ) -> ids.Instant | None:
        """Reserve slot time for some work, and return when it begins; None if full.

        `slots` is the number of slots that returns of the tier may use. The work is
        spread over as many intervals as it takes, so that the promised requests
        together never need more slots.
        """
        capacity = slots * INTERVAL
        if capacity <= EPSILON:
            return None
        for number in range(interval_of(earliest), interval_of(latest) + 1):
            free = self.free(tier, number, capacity)
            if free <= EPSILON:
                continue
            begin = max(earliest, (number + 1 - free / capacity) * INTERVAL)
            if begin > latest:
                return None
            self.fill(tier, work, number, capacity)
            return ids.Instant(begin)
        return None

    def free(self, tier: int, number: int, capacity: float) -> float:
        """Return the slot seconds of an interval that a tier may still promise."""
        used = sum(
            intervals.get(number, 0.0)
            for other, intervals in self.reserved.items()
            if other <= tier
        )
        return capacity - used

    def fill(self, tier: int, work: float, number: int, capacity: float) -> None:
        """Reserve work from an interval on."""
        own = self.reserved[tier]
        while work > EPSILON:
            taken = min(work, max(0.0, self.free(tier, number, capacity)))
            own[number] += taken
            work -= taken
            number += 1

    def add(self, tier: int, work: float, at: ids.Instant) -> None:
        """Record work that was promised elsewhere, whether or not it fits."""
        self.reserved[tier][interval_of(at)] += work

    def expire(self, now: ids.Instant) -> None:
        """Remove the intervals that are over."""
        first = interval_of(now)
        if first == self.first:
            return
        self.first = first
        for intervals in self.reserved.values():
            for number in [one for one in intervals if one < first]:
                del intervals[number]


def interval_of(at: ids.Instant) -> int:
    """Return the number of the interval that an instant is in."""
    return math.floor(at / INTERVAL)
