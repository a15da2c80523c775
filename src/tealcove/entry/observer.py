"""Telemetry of an entry's requests: a span for each, and metrics."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import opentelemetry.context
from aiohttp import web
from opentelemetry import trace

from tealcove import clock, ids, telemetry
from tealcove.entry import exchange, problem

COMPLETED = problem.Outcome.COMPLETED.value
BROKEN = "broken"
REQUEST_SPAN = "request"


class ObservedRequest:
    """The observed data of one caller's request, until its answer has ended."""

    def __init__(
        self, http: web.Request, request_id: ids.RequestId, now: ids.Instant
    ) -> None:
        self.http = http
        self.request_id = request_id
        self.started_at = now
        self.running: exchange.Exchange | None = None
        self.problem: problem.Problem | None = None

    def attach(self, running: exchange.Exchange) -> exchange.Exchange:
        """Record which request in progress the caller waits for; returns it."""
        self.running = running
        return running

    def respond_problem(self, found: problem.Problem) -> web.Response:
        """Record a problem and return its response."""
        self.problem = found
        response = problem.respond(found, self.request_id)
        if not self.http.content.is_eof():
            # The connection can't be reused after an incomplete request body.
            response.force_close()
        return response

    def tier(self) -> str:
        """Return the service tier; "" if the request wasn't accepted."""
        return "" if self.running is None else self.running.request.caller.tier

    def outcome_and_reason(self) -> tuple[str, str]:
        """Return the outcome and the reason of the answer that was sent."""
        found = self.problem
        if found is None and self.running is not None:
            # An interrupted streamed answer has its problem here.
            failure = self.running.answer.failure
            if isinstance(failure, problem.ProblemError):
                found = failure.problem
        if found is None:
            return COMPLETED, ""
        return found.outcome.value, found.reason


class Observer:
    """Creates the spans and metrics of an entry.

    Client accounts are in spans only: as metric labels they would create one series
    per account on each instance.
    """

    def __init__(self, source: telemetry.Source | None = None) -> None:
        self.source = source or telemetry.Source()
        self.requests = self.source.meter.create_counter(
            "tealcove.requests", description="Requests answered, by how they ended."
        )
        self.first_tokens = self.source.histogram(
            "tealcove.request.time_to_first_token",
            "From a request's arrival to its first token.",
        )
        self.durations = self.source.histogram(
            "tealcove.request.duration",
            "From a completed request's arrival to the end of its answer.",
        )

    @contextlib.contextmanager
    def observe(
        self, http: web.Request, request_id: ids.RequestId
    ) -> Iterator[ObservedRequest]:
        """Observe one caller's request inside its span."""
        observed = ObservedRequest(http, request_id, clock.now())
        with self.trace(http, observed) as span:
            outcome, reason = BROKEN, ""
            try:
                yield observed
                outcome, reason = observed.outcome_and_reason()
            except BaseException:
                if http.transport is None or http.transport.is_closing():
                    outcome = problem.CALLER_GONE
                raise
            finally:
                self.count(observed, outcome, reason, clock.now())
                if span is not None:
                    describe(span, observed, outcome, reason)

    @contextlib.contextmanager
    def trace(
        self, http: web.Request, observed: ObservedRequest
    ) -> Iterator[trace.Span | None]:
        """Continue the caller's trace, with a span of this entry if it's recorded."""
        if self.source.tracing:
            with self.source.span(
                REQUEST_SPAN,
                context=telemetry.extract(http.headers),
                kind=trace.SpanKind.SERVER,
            ) as span:
                yield span if span.is_recording() else None
            return
        if telemetry.TRACEPARENT not in http.headers:
            yield None
            return
        # Passed on to the backend server unchanged.
        token = opentelemetry.context.attach(telemetry.extract(http.headers))
        try:
            yield None
        finally:
            opentelemetry.context.detach(token)

    def count(
        self, observed: ObservedRequest, outcome: str, reason: str, now: ids.Instant
    ) -> None:
        """Add a request that has ended to the metrics."""
        tier = observed.tier()
        self.requests.add(1, {"tier": tier, "outcome": outcome, "reason": reason})
        if observed.running is None:
            return
        first = observed.running.first_token_at
        if first is not None:
            # A caller that joins a request in progress may arrive after the token.
            self.first_tokens.record(
                max(0.0, first - observed.started_at), {"tier": tier}
            )
        if outcome == COMPLETED:
            self.durations.record(now - observed.started_at, {"tier": tier})


def describe(
    span: trace.Span, observed: ObservedRequest, outcome: str, reason: str
) -> None:
    """Set the attributes of a request's span; neither keys nor content."""
    span.set_attribute("tealcove.request_id", observed.request_id)
    span.set_attribute("tealcove.outcome", outcome)
    if reason:
        span.set_attribute("tealcove.reason", reason)
    if observed.running is None:
        return
    request = observed.running.request
    span.set_attribute("tealcove.tier", request.caller.tier)
    span.set_attribute("tealcove.account", request.caller.account)
    span.set_attribute("tealcove.pool", request.cell.rpartition("/")[0])
