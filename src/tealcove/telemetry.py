"""Metrics and traces through the OpenTelemetry API, without exporters.

Callers wait for an instance that restarts, and the exporters, an eighth of its imports,
are left to `exporting`.
"""

from __future__ import annotations

import contextlib
import typing
from collections.abc import Iterator

import opentelemetry.context
from opentelemetry import metrics, trace
from opentelemetry.trace.propagation import tracecontext

from tealcove import measuring

SCOPE = "tealcove"
TRACEPARENT = "traceparent"

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
# The context of a request without a trace.
NO_CONTEXT = opentelemetry.context.Context()
NO_SPAN = contextlib.nullcontext()


class Source(measuring.Source):
    """A meter and a tracer; by default, no-ops that record nothing.

    `tracing` is false if no spans are recorded; callers may then skip work that only
    serves spans. The tracer is a no-op in that case.
    """

    def __init__(self) -> None:
        self.meter: metrics.Meter = metrics.NoOpMeter(SCOPE)
        self.tracer: trace.Tracer = trace.NoOpTracer()
        self.tracing = False

    def counter(self, name: str, description: str) -> measuring.Counter:
        """See measuring.Source."""
        return self.meter.create_counter(name, description=description)

    def histogram(self, name: str, description: str) -> measuring.Histogram:
        """See measuring.Source."""
        return self.meter.create_histogram(
            name,
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=measuring.SECONDS_BOUNDS,
        )

    def child_span(
        self, name: str, **attributes: str
    ) -> contextlib.AbstractContextManager[trace.Span | None]:
        """Start a child of the current span; gives None if that isn't recorded."""
        if not self.tracing or not trace.get_current_span().is_recording():
            return NO_SPAN
        return self.span(name, attributes=attributes)

    @contextlib.contextmanager
    def span(self, name: str, **options: typing.Any) -> Iterator[trace.Span]:
        """Make a span the current one; an exception sets its status to error.

        Only the type of the exception is recorded: its text may contain a part of a
        backend server's answer, which is private to the caller.
        """
        with self.tracer.start_as_current_span(
            name, record_exception=False, set_status_on_exception=False, **options
        ) as span:
            try:
                yield span
            except BaseException as error:
                span.set_status(trace.StatusCode.ERROR, type(error).__name__)
                raise


def extract(headers: typing.Mapping[str, str]) -> opentelemetry.context.Context:
    """Return the trace context from a request's headers."""
    return context_of(headers.get(TRACEPARENT, ""))


def inject(
    headers: typing.MutableMapping[str, str],
    context: opentelemetry.context.Context | None = None,
) -> None:
    """Add the header of the given or current trace context, if there is one."""
    written = traceparent(context)
    if written:
        headers[TRACEPARENT] = written


def context_of(written: str) -> opentelemetry.context.Context:
    """Return the trace context of a `traceparent` value; "" stands for none."""
    if not written:
        return NO_CONTEXT
    return PROPAGATOR.extract({TRACEPARENT: written}, NO_CONTEXT)


def traceparent(context: opentelemetry.context.Context | None = None) -> str:
    """Return the `traceparent` value of the given or current context, or ""."""
    span = trace.get_current_span(context)
    if not span.get_span_context().is_valid:
        return ""
    carrier: dict[str, str] = {}
    PROPAGATOR.inject(carrier, context)
    return carrier.get(TRACEPARENT, "")
