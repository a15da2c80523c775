"""Share of each kind of request that is served within its goal, and its entitlement.

Determines how an overload is distributed over the requests of one tier whose goals are
reachable.
"""

from __future__ import annotations

import itertools
import math

import msgspec

from tealcove import ids

# Time constant in seconds of the averages of arrivals and grants: it covers some dozen
# requests of each kind and length at 20 a second, and is shorter than a burst of 5 s.
WINDOW_SECONDS = 4.0
# Added to a kind's service level for each more urgent kind, so that the more urgent one
# is served at least as well although both are measured with an error of some
# hundredths.
URGENCY_OFFSET = 0.05
# Part of its share that a kind yields to more urgent ones if it holds a slot for as
# long as they do; if it holds it for a tenth of the time, it yields a tenth of that. A
# lower value costs the urgent kinds more than the others gain; at 1, the others are
# hardly served.
YIELDED_SHARE = 0.8
# Length bands: the upper bound as a multiple of the kind's mean slot time, and the
# relative share of requests in the band that are served. Output lengths are log-normal,
# and the longest tenth takes nearly half of a kind's slot time. A long request still
# has half the chance of a short one. The first bound is above 1, so that calls which
# all take equally long are in one band.
BANDS = ((1.25, 1.0), (3.0, 0.75), (math.inf, 0.5))
# Fewer recent arrivals are too few to estimate a served ratio.
MIN_ARRIVALS = 1.0


class Kind(msgspec.Struct, frozen=True, order=True):
    """Requests of one urgency within a tier."""

    tier: int
    # 0 is the most urgent.
    urgency: int


class Flow(msgspec.Struct, frozen=True):
    """Requests of one kind and length band."""

    kind: Kind
    # Index in BANDS.
    band: int


class Share(msgspec.Struct):
    """Exponentially decaying counts of arrivals and grants."""

    arrived: float = 0.0
    # Grants that were in time for the goal.
    granted: float = 0.0
    # Total slot time of the arrivals, in seconds.
    work: float = 0.0
    updated: ids.Instant = ids.Instant(0.0)

    def decay(self, now: ids.Instant) -> None:
        """Reduce the weight of earlier arrivals and grants."""
        part = math.exp(-max(0.0, now - self.updated) / WINDOW_SECONDS)
        self.updated = now
        self.arrived *= part
        self.granted *= part
        self.work *= part

    def record_arrival(self, seconds: float, now: ids.Instant) -> None:
        """Count an arrival that will hold a slot for some seconds."""
        self.decay(now)
        self.arrived += 1.0
        self.work += seconds

    def record_grant(self, now: ids.Instant) -> None:
        """Count a grant that is in time for the goal."""
        self.decay(now)
        self.granted += 1.0

    def served_ratio(self) -> float:
        """Return the share of arrivals that were granted in time for their goal."""
        if self.arrived < MIN_ARRIVALS:
            return 1.0
        return self.granted / self.arrived

    def slot_seconds(self) -> float:
        """Return the mean slot time of an arrival; 0 if there were none."""
        return self.work / self.arrived if self.arrived else 0.0


class Shares:
    """Shares by flow, and by kind over all lengths."""

    def __init__(self) -> None:
        self.flows: dict[Flow, Share] = {}
        self.kinds: dict[Kind, Share] = {}

    def flow(self, tier: int, urgency: int, seconds: float) -> Flow:
        """Return the flow of a request that will hold a slot for some seconds."""
        kind = Kind(tier, urgency)
        share = self.kinds.get(kind)
        mean = 0.0 if share is None else share.slot_seconds()
        if not mean:
            return Flow(kind, 0)
        return Flow(
            kind, next(n for n, b in enumerate(BANDS) if seconds <= b[0] * mean)
        )

    def record_arrival(self, flow: Flow, seconds: float, now: ids.Instant) -> None:
        """Count an arrival that will hold a slot for some seconds."""
        self.flows.setdefault(flow, Share()).record_arrival(seconds, now)
        self.kinds.setdefault(flow.kind, Share()).record_arrival(seconds, now)

    def record_grant(self, flow: Flow, now: ids.Instant) -> None:
        """Count a grant that is in time for the goal."""
        self.flows.setdefault(flow, Share()).record_grant(now)

    def service_levels(self) -> dict[Flow, float]:
        """Return each flow's service level; the flow with the lowest goes first.

        Under overload the levels of a tier's flows converge, so that each flow is
        served in proportion to its entitlement.
        """
        found = self.adjustments()
        return {
            flow: share.served_ratio()
            / (found[flow.kind].entitlement * BANDS[flow.band][1])
            + found[flow.kind].offset
            for flow, share in self.flows.items()
            if flow.kind in found
        }

    def adjustments(self) -> dict[Kind, Adjustment]:
        """Return how far each kind yields to the more urgent ones of its tier."""
        found: dict[Kind, Adjustment] = {}
        for _, kinds in itertools.groupby(sorted(self.kinds), lambda kind: kind.tier):
            entitlement, offset = 1.0, 0.0
            urgent = Share()
            for kind in kinds:
                share = self.kinds[kind]
                if urgent.work:
                    times = share.slot_seconds() / urgent.slot_seconds()
                    entitlement *= 1.0 - YIELDED_SHARE * min(1.0, times)
                    offset += URGENCY_OFFSET
                found[kind] = Adjustment(entitlement, offset)
                urgent.arrived += share.arrived
                urgent.work += share.work
        return found


class Adjustment(msgspec.Struct, frozen=True):
    """How far a kind yields to more urgent ones."""

    # Its share relative to that of the tier's most urgent kind.
    entitlement: float
    # Added to its service level.
    offset: float
