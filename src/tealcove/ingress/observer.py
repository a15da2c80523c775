"""Metrics of callers' requests."""

from __future__ import annotations

import msgspec

from tealcove import ids, measuring
from tealcove.entry import problem


class Observation(msgspec.Struct):
    """What the metrics need of one request."""

    arrived: ids.Instant
    route: str = ""
    outcome: str = problem.Outcome.COMPLETED.value
    first_event_at: ids.Instant | None = None


class Observer:
    """The metrics of an ingress: few, since each adds cost to every request."""

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

    def begin(self, now: ids.Instant) -> Observation:
        """Start the observation of a request."""
        return Observation(now)

    def end(self, observation: Observation, now: ids.Instant) -> None:
        """Record a finished request in the metrics."""
        labels = {"route": observation.route, "outcome": observation.outcome}
        self.requests.add(1, labels)
        self.durations.record(now - observation.arrived, labels)
        if observation.first_event_at is not None:
            first = observation.first_event_at - observation.arrived
            self.first_events.record(first, {"route": observation.route})
