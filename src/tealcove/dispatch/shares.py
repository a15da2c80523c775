"""Which part of each kind of request is served within its goal, and which is due to it.

Decides whom an overload costs most among requests of one tier whose goals are in reach.
"""

from __future__ import annotations

import itertools
import math

import msgspec

from tealcove import ids

# Seconds over which arrivals and grants are averaged: some dozen requests of each kind
# and length at 20 a second, and still within a burst of 5 s.
WINDOW_SECONDS = 4.0
# By how much more a kind's part may be than that of the next less urgent one: the more
# urgent one is to be served at least as well although both are measured with an error
# of some hundredths.
URGENCY_OFFSET = 0.05
# A kind that holds a slot for as long as more urgent ones do gives so much of its part
# up to them; one that holds it for a tenth of the time, a tenth of that. Less costs the
# urgent kinds more than the others gain; at 1, the others earn next to nothing.
YIELDED_SHARE = 0.8
# Requests are short up to the first many times their kind's mean slot time, long beyond
# the second, and their parts are kept at these ratios: outputs are log-normal, and the
# longest tenth takes nearly half of what a kind costs. A long request still has half
# the chance of a short one. The first bound is above 1, so that calls that all take the
# same are of one length.
BANDS = ((1.25, 1.0), (3.0, 0.75), (math.inf, 0.5))
# With fewer arrivals lately a part says nothing.
MIN_ARRIVALS = 1.0


class Kind(msgspec.Struct, frozen=True, order=True):
    """Requests of one rank within a tier."""

    tier: int
    # 0 is the most urgent.
    urgency: int


class Flow(msgspec.Struct, frozen=True):
    """Requests of one kind and length."""

    kind: Kind
    # Index in BANDS.
    band: int


class Share(msgspec.Struct):
    """Arrivals and grants, newer ones counting for more."""

    arrived: float = 0.0
    # Granted a slot so that the goal could be met.
    granted: float = 0.0
    # Seconds for which the arrivals hold a slot.
    work: float = 0.0
    updated: ids.Instant = ids.Instant(0.0)

    def decay(self, now: ids.Instant) -> None:
        """Let what came earlier count for less."""
        part = math.exp(-max(0.0, now - self.updated) / WINDOW_SECONDS)
        self.updated = now
        self.arrived *= part
        self.granted *= part
        self.work *= part

    def record_arrival(self, seconds: float, now: ids.Instant) -> None:
        """Take in a request that holds a slot for some seconds."""
        self.decay(now)
        self.arrived += 1.0
        self.work += seconds

    def record_grant(self, now: ids.Instant) -> None:
        """Take in a grant by which the goal can be met."""
        self.decay(now)
        self.granted += 1.0

    def served_ratio(self) -> float:
        """Return the part that is served within its goal."""
        if self.arrived < MIN_ARRIVALS:
            return 1.0
        return self.granted / self.arrived

    def slot_seconds(self) -> float:
        """Return for how long one holds a slot; 0: nothing is known."""
        return self.work / self.arrived if self.arrived else 0.0


class Shares:
    """Shares by flow, and by kind with all lengths together."""

    def __init__(self) -> None:
        self.flows: dict[Flow, Share] = {}
        self.kinds: dict[Kind, Share] = {}

    def flow(self, tier: int, urgency: int, seconds: float) -> Flow:
        """Return the flow of a request that holds a slot for some seconds."""
        kind = Kind(tier, urgency)
        share = self.kinds.get(kind)
        mean = 0.0 if share is None else share.slot_seconds()
        if not mean:
            return Flow(kind, 0)
        return Flow(
            kind, next(n for n, b in enumerate(BANDS) if seconds <= b[0] * mean)
        )

    def record_arrival(self, flow: Flow, seconds: float, now: ids.Instant) -> None:
        """Take in a request that holds a slot for some seconds."""
        self.flows.setdefault(flow, Share()).record_arrival(seconds, now)
        self.kinds.setdefault(flow.kind, Share()).record_arrival(seconds, now)

    def record_grant(self, flow: Flow, now: ids.Instant) -> None:
        """Take in a grant by which the goal can be met."""
        self.flows.setdefault(flow, Share()).record_grant(now)

    def service_levels(self) -> dict[Flow, float]:
        """Return for each flow how well it's served; the least goes first.

        Under overload all flows of a tier come to the same standing, that is, to the
        parts that are due to them.
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
        """Return how far each kind gives way to the more urgent ones of its tier."""
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
    """How far a kind gives way to more urgent ones."""

    # The part that is due to it, against that of the tier's most urgent kind.
    entitlement: float
    # What is added to its standing.
    offset: float
