"""What is counted and measured of callers' requests."""

from __future__ import annotations

import msgspec

from tealcove import ids, measuring
from tealcove.entry import problem


class Seen(msgspec.Struct):
    """One request, from its arrival to the end of its answer."""

    began: ids.Instant
    route: str = ""
    outcome: str = problem.Outcome.COMPLETED.value
    first_event_at: ids.Instant | None = None


class Observer:
    """The metrics of an ingress: few, since each costs time at every request."""

    def __init__(self, source: measuring.Source | None = None) -> None:
        source = source or measuring.NoOpSource()
        self.requests = source.counter(
            "tealcove.ingress.requests",
            "Requests answered, by route and how they ended.",
        )
        self.first_events = source.histogram(
            "tealcove.ingress.time_to_first_event",
            "From a request's arrival to its stream's first event.",
        )
        self.durations = source.histogram(
            "tealcove.ingress.duration",
            "From a request's arrival to the end of its answer.",
        )

    def begin(self, now: ids.Instant) -> Seen:
        """Begin to watch a request."""
        return Seen(now)

    def end(self, seen: Seen, now: ids.Instant) -> None:
        """Add a request that has ended to the metrics."""
        labels = {"route": seen.route, "outcome": seen.outcome}
        self.requests.add(1, labels)
        self.durations.record(now - seen.began, labels)
        if seen.first_event_at is not None:
            first = seen.first_event_at - seen.began
            self.first_events.record(first, {"route": seen.route})
