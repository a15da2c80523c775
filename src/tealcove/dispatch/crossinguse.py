"""Use of the budgets between data centres, and the part of each for this dispatcher."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

import msgspec

from tealcove import ids

# The entry's data centre and the server's.
Pair = tuple[ids.DataCentreId, ids.DataCentreId]

# Seconds over which bytes are counted, in intervals of so many seconds.
USE_SECONDS = 2.0
INTERVAL_SECONDS = 0.5
# Part of a budget that is divided equally among the dispatchers that use it. By use
# alone, a dispatcher without use could never begin, and two that use all they have
# would keep their parts whatever their demand.
EQUAL_SHARE = 0.2


class PairUse(msgspec.Struct, frozen=True, array_like=True):
    """Bytes that a dispatcher let cross between two data centres lately."""

    entry: ids.DataCentreId
    server: ids.DataCentreId
    bytes: float

    @property
    def pair(self) -> Pair:
        """The data centres."""
        return self.entry, self.server


class RecentUse:
    """Counts the bytes of each pair over the last seconds."""

    def __init__(self) -> None:
        # By interval, numbered from the start of the clock; the oldest first.
        self.intervals: dict[int, collections.Counter[Pair]] = {}

    def add(self, pair: Pair, size: float, now: ids.Instant) -> None:
        """Count the bytes of a crossing."""
        number = int(now / INTERVAL_SECONDS)
        counted = self.intervals.get(number)
        if counted is None:
            counted = self.intervals[number] = collections.Counter()
        counted[pair] += size

    def totals(self, now: ids.Instant) -> dict[Pair, float]:
        """Return the bytes of each pair with crossings in the last seconds."""
        oldest = int((now - USE_SECONDS) / INTERVAL_SECONDS)
        for number in [one for one in self.intervals if one <= oldest]:
            del self.intervals[number]
        found: collections.Counter[Pair] = collections.Counter()
        for counted in self.intervals.values():
            found.update(counted)
        return dict(found)


def shares(
    own: Mapping[Pair, float], others: Iterable[Iterable[PairUse]]
) -> dict[Pair, float]:
    """Return this dispatcher's part, from 0 to 1, of each budget that others use.

    `others` are the figures of each other dispatcher. The parts of all dispatchers that
    use a budget add up to 1 if each knows the use of all.
    """
    elsewhere: dict[Pair, list[float]] = {}
    for told in others:
        for one in told:
            if one.bytes > 0.0:
                elsewhere.setdefault(one.pair, []).append(one.bytes)
    return {pair: share(own.get(pair, 0.0), found) for pair, found in elsewhere.items()}


def share(own: float, others: list[float]) -> float:
    """Return the part of one budget, given the bytes of all that use it."""
    by_use = own / (own + sum(others))
    return (1.0 - EQUAL_SHARE) * by_use + EQUAL_SHARE / (1 + len(others))
