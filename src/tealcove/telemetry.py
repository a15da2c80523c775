"""Metrics and traces by OpenTelemetry, each instance with providers of its own."""

from __future__ import annotations

import contextlib
import typing
from collections.abc import Iterator

import opentelemetry.context
import prometheus_client
from opentelemetry import metrics, trace
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, sampling
from opentelemetry.trace.propagation import tracecontext

from tealcove import settings, version

SCOPE = "tealcove"
TRACEPARENT = "traceparent"
TRACES_PATH = "/v1/traces"
# Bounds of histograms in seconds; those of OpenTelemetry's default are meant for
# milliseconds.
SECONDS_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300)

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
# What a request without a trace runs under.
NO_CONTEXT = opentelemetry.context.Context()
NO_SPAN = contextlib.nullcontext()


class Source:
    """A meter and a tracer; without arguments, nothing is measured or traced.

    `tracing` is false when no span is ever recorded; callers may then leave
    out work that only serves spans. The tracer is a no-op one in that case.
    """

    def __init__(self) -> None:
        self.meter: metrics.Meter = metrics.NoOpMeter(SCOPE)
        self.tracer: trace.Tracer = trace.NoOpTracer()
        self.tracing = False

    def seconds(self, name: str, description: str) -> metrics.Histogram:
        """Return a histogram of seconds."""
        return self.meter.create_histogram(
            name,
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=SECONDS_BOUNDS,
        )

    def step(
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


class Telemetry(Source):
    """The meter and the tracer of one instance, and where they send to."""

    def __init__(
        self,
        found: settings.Settings,
        exporter: export.SpanExporter | None = None,
    ) -> None:
        super().__init__()
        resource = resources.Resource.create(
            {
                "service.name": SCOPE,
                "service.instance.id": found.instance,
                "cloud.availability_zone": found.data_centre,
            }
        )
        # A registry of its own, since tests and the demo run several in a process.
        self.registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self.registry)
        # Nobody reads exemplars here, and their upkeep costs time at every count.
        self.meters = sdk_metrics.MeterProvider(
            [reader],
            resource=resource,
            exemplar_filter=sdk_metrics.AlwaysOffExemplarFilter(),
        )
        self.meter = self.meters.get_meter(SCOPE, version.VERSION)
        self.spans = span_provider(found.telemetry, resource, exporter)
        self.tracing = self.spans is not None
        provider = self.spans or trace.NoOpTracerProvider()
        self.tracer = provider.get_tracer(SCOPE, version.VERSION)

    def metrics_text(self) -> bytes:
        """Return all metrics in the text form of Prometheus, for /metrics."""
        return prometheus_client.generate_latest(self.registry)

    def shutdown(self) -> None:
        """Send the spans that still wait; it blocks, so call it at the very end."""
        if self.spans is not None:
            self.spans.shutdown()
        self.meters.shutdown()


def span_provider(
    found: settings.Telemetry,
    resource: resources.Resource,
    exporter: export.SpanExporter | None,
) -> sdk_trace.TracerProvider | None:
    """Return a provider that exports spans, or None if none would be exported."""
    if found.trace_share == 0:
        return None
    if exporter is None and found.otlp_endpoint is not None:
        endpoint = found.otlp_endpoint.rstrip("/") + TRACES_PATH
        # Imported where it's used: it brings an HTTP client and protobuf, 0.06 s of the
        # start of every instance.
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        exporter = trace_exporter.OTLPSpanExporter(endpoint=endpoint)
    if exporter is None:
        return None
    # The caller's own decision goes first, so that a trace is whole or absent.
    sampler = sampling.ParentBased(sampling.TraceIdRatioBased(found.trace_share))
    provider = sdk_trace.TracerProvider(
        sampler=sampler, resource=resource, shutdown_on_exit=False
    )
    provider.add_span_processor(export.BatchSpanProcessor(exporter))
    return provider


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
