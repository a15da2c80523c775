"""Export of metrics and traces, with separate providers for each instance."""

from __future__ import annotations

import prometheus_client
from opentelemetry import trace
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, sampling

from tealcove import probes, settings, telemetry, version

TRACES_PATH = "/v1/traces"


class Telemetry(telemetry.Source, probes.MetricsExporter):
    """The meter and the tracer of one instance, and their exporters."""

    def __init__(
        self,
        found: settings.Settings,
        exporter: export.SpanExporter | None = None,
    ) -> None:
        super().__init__()
        resource = resources.Resource.create(
            {
                "service.name": telemetry.SCOPE,
                "service.instance.id": found.instance,
                "cloud.availability_zone": found.data_centre,
            }
        )
        # Not the global registry, since tests and the demo run several instances in one
        # process.
        self.registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self.registry)
        # Exemplars aren't used, and collecting them slows down every measurement.
        self.meter_provider = sdk_metrics.MeterProvider(
            [reader],
            resource=resource,
            exemplar_filter=sdk_metrics.AlwaysOffExemplarFilter(),
        )
        self.meter = self.meter_provider.get_meter(telemetry.SCOPE, version.VERSION)
        self.tracer_provider = new_tracer_provider(found.telemetry, resource, exporter)
        self.tracing = self.tracer_provider is not None
        provider = self.tracer_provider or trace.NoOpTracerProvider()
        self.tracer = provider.get_tracer(telemetry.SCOPE, version.VERSION)

    def metrics_text(self) -> bytes:
        """See MetricsExporter."""
        return prometheus_client.generate_latest(self.registry)

    def shutdown(self) -> None:
        """Export the pending spans; it blocks, so call it last."""
        if self.tracer_provider is not None:
            self.tracer_provider.shutdown()
        self.meter_provider.shutdown()


def new_tracer_provider(
    found: settings.Telemetry,
    resource: resources.Resource,
    exporter: export.SpanExporter | None,
) -> sdk_trace.TracerProvider | None:
    """Return a provider that exports spans, or None if none would be exported."""
    if found.trace_share == 0:
        return None
    if exporter is None and found.otlp_endpoint is not None:
        endpoint = found.otlp_endpoint.rstrip("/") + TRACES_PATH
        # Imported only if used: it loads an HTTP client and protobuf.
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        exporter = trace_exporter.OTLPSpanExporter(endpoint=endpoint)
    if exporter is None:
        return None
    # The caller's sampling decision takes precedence, so that traces are complete.
    sampler = sampling.ParentBased(sampling.TraceIdRatioBased(found.trace_share))
    provider = sdk_trace.TracerProvider(
        sampler=sampler, resource=resource, shutdown_on_exit=False
    )
    provider.add_span_processor(export.BatchSpanProcessor(exporter))
    return provider
