"""What measures and traces by OpenTelemetry, without what exports either.

An instance that starts again is waited for, and the exporters are an eighth of what it
imports; see `exporting`.
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
# What a request without a trace runs under.
NO_CONTEXT = opentelemetry.context.Context()
NO_SPAN = contextlib.nullcontext()


class Source(measuring.Source):
    """A meter and a tracer; without arguments, nothing is measured or traced.

    `tracing` is false when no span is ever recorded; callers may then leave
    out work that only serves spans. The tracer is a no-op one in that case.
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
        """Return a span within the current one; None when that isn't recorded."""
        if not self.tracing or not trace.get_current_span().is_recording():
            return NO_SPAN
        return self.span(name, attributes=attributes)

    @contextlib.contextmanager
    def span(self, name: str, **options: typing.Any) -> Iterator[trace.Span]:
        """Make a span the current one; it ends as an error by an exception.

        Of the exception it gets the type alone: its text may hold a part of a
        backend server's answer, which belongs to a caller.
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
    """Return the trace that a request's headers belong to."""
    return context_of(headers.get(TRACEPARENT, ""))


def inject(
    headers: typing.MutableMapping[str, str],
    context: opentelemetry.context.Context | None = None,
) -> None:
    """Add the header of the given or current trace, if there is one."""
    written = traceparent(context)
    if written:
        headers[TRACEPARENT] = written


def context_of(written: str) -> opentelemetry.context.Context:
    """Return the trace that a `traceparent` value names; "" names none."""
    if not written:
        return NO_CONTEXT
    return PROPAGATOR.extract({TRACEPARENT: written}, NO_CONTEXT)


def traceparent(context: opentelemetry.context.Context | None = None) -> str:
    """Return the `traceparent` value of the given or current trace, or ""."""
    span = trace.get_current_span(context)
    if not span.get_span_context().is_valid:
        return ""
    carrier: dict[str, str] = {}
    PROPAGATOR.inject(carrier, context)
    return carrier.get(TRACEPARENT, "")
