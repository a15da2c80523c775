"""Metrics of callers' requests."""

from __future__ import annotations

import msgspec

from tealcove import ids, measuring
from tealcove.accounts import tallies
from tealcove.catalog import declared, lookup
from tealcove.entry import problem
from tealcove.ingress import call, tickets


class Observation(msgspec.Struct):
    """What the metrics need of one request."""

    arrived: ids.Instant
    route: str = ""
    request_id: ids.RequestId = ids.RequestId("")
    outcome: str = problem.Outcome.COMPLETED.value
    first_event_at: ids.Instant | None = None
    # None until the caller is known; empty for callers of public routes.
    account: ids.AccountId | None = None
    # None if no route was found.
    declared_route: declared.Route | None = None
    # Why it was refused or failed.
    reason: str = ""
    # Seconds from its arrival until the first slot was granted; None: none was.
    waited: float | None = None
    # Seconds of the longest pause between two events of its stream.
    longest_pause: float = 0.0
    # Whether a log line says how it ended.
    is_explained: bool = False

    def note_accepted(self, accepted: tickets.AcceptedRequest) -> None:
        """Note the caller and the kind of an accepted request."""
        self.route = accepted.route.name
        self.account = accepted.account_name
        self.declared_route = accepted.route

    def identify(self, received: call.Call, current: lookup.Lookup | None) -> None:
        """Note the same of a request that isn't accepted, as far as it is known."""
        if current is None:
            return
        self.declared_route = current.find_route(received.host, received.path)
        account = current.find_account(received.key)
        if account is not None:
            self.account = account.name

    @property
    def description(self) -> str:
        """Return its account and kind, for log lines."""
        return tickets.describe(self.account, self.declared_route)

    def result(self, now: ids.Instant) -> tallies.Result:
        """Return how the request ended for its caller, where it ends now."""
        if self.outcome == problem.CALLER_GONE:
            return tallies.Result.CALLER_GONE
        if self.outcome == problem.Outcome.NOT_RUN.value:
            return tallies.Result.REFUSED
        if self.outcome != problem.Outcome.COMPLETED.value:
            return tallies.Result.FAILED
        answered = now if self.first_event_at is None else self.first_event_at
        seconds = answered - self.arrived
        is_in_time = self.declared_route is None or is_within(
            self.declared_route, seconds, self.longest_pause
        )
        return tallies.Result.IN_TIME if is_in_time else tallies.Result.LATE


class Observer:
    """The metrics of an ingress: few, since each adds cost to every request."""

    def __init__(
        self,
        source: measuring.Source | None = None,
        counts: tallies.Tallies | None = None,
    ) -> None:
        source = source or measuring.NoOpSource()
        # Counts by account; None: there are none.
        self.counts = counts
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
        if self.counts is not None and observation.account is not None:
            self.counts.add(ended_of(observation, now), now)


def ended_of(observation: Observation, now: ids.Instant) -> tallies.Ended:
    """Return a finished request as it is counted by account."""
    route = observation.declared_route
    return tallies.Ended(
        account=observation.account,
        route="" if route is None else route.name,
        urgency=0 if route is None else route.rank,
        result=observation.result(now),
        reason=observation.reason or reason_of(observation.outcome),
        waited=observation.waited,
    )


def reason_of(outcome: str) -> str:
    """Return the reason of an outcome whose problem names none."""
    return outcome if outcome == problem.Outcome.REJECTED.value else ""


def is_within(route: declared.Route, seconds: float, pause: float) -> bool:
    """Tell whether an answer, or first event, and the pauses after it meet the goals.

    A goal of 0 is none.
    """
    if route.goal > 0.0 and seconds > route.goal:
        return False
    return not route.is_stream or route.gap <= 0.0 or pause <= route.gap
