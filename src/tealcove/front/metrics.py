"""The metrics of an instance, kept as plain numbers until they are scraped.

The OpenTelemetry SDK would take a twentieth of a request's time and an eighth of an
instance's start.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator

import msgspec

from tealcove import measuring, probes

# Names and values of the labels that identify a series.
Labels = tuple[tuple[str, str], ...]


class Counter:
    """A monotonic counter with a value for each set of labels."""

    def __init__(self, name: str, description: str) -> None:
        self.name = name
        self.description = description
        self.values: dict[Labels, float] = {}

    def add(self, amount: float, attributes: dict[str, str]) -> None:
        """See measuring.Counter."""
        labels = tuple(attributes.items())
        self.values[labels] = self.values.get(labels, 0.0) + amount


class Histogram:
    """A histogram of seconds with a series for each set of labels."""

    def __init__(self, name: str, description: str) -> None:
        self.name = name
        self.description = description
        self.series: dict[Labels, measuring.Series] = {}

    def record(self, amount: float, attributes: dict[str, str]) -> None:
        """See measuring.Histogram."""
        labels = tuple(attributes.items())
        found = self.series.get(labels)
        if found is None:
            found = self.series[labels] = measuring.Series()
        found.record(amount)


class ObservableCounters(msgspec.Struct, frozen=True):
    """A counter with labels whose values are read at each scrape."""

    name: str
    description: str
    read: Callable[[], Iterable[measuring.Sample[float]]]


class ObservableHistograms(msgspec.Struct, frozen=True):
    """A histogram with labels whose series are read at each scrape."""

    name: str
    description: str
    read: Callable[[], Iterable[measuring.Sample[measuring.Series]]]


class Registry(measuring.Source, probes.MetricsExporter):
    """Holds all metrics of one instance; records no traces."""

    def __init__(self) -> None:
        self.counters: list[Counter] = []
        self.histograms: list[Histogram] = []
        # Counters read by callback at each scrape: name, description, callback.
        self.observable_counters: list[tuple[str, str, Callable[[], float]]] = []
        # The same with labels.
        self.labelled_counters: list[ObservableCounters] = []
        self.labelled_histograms: list[ObservableHistograms] = []
        # Gauges likewise.
        self.observable_gauges: list[tuple[str, str, Callable[[], float]]] = []

    def counter(self, name: str, description: str) -> Counter:
        """See Source."""
        self.counters.append(Counter(name, description))
        return self.counters[-1]

    def histogram(self, name: str, description: str) -> Histogram:
        """See Source."""
        self.histograms.append(Histogram(name, description))
        return self.histograms[-1]

    def add_observable_counter(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Add a monotonic counter whose value is read by callback at each scrape."""
        self.observable_counters.append((name, description, read))

    def add_observable_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Add a value that may fall, read by callback at each scrape."""
        self.observable_gauges.append((name, description, read))

    def metrics_text(self) -> bytes:
        """See MetricsExporter."""
        # Imported here to shorten the start: few instances are scraped before they
        # have answered their first requests.
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def collect(self) -> Iterator[object]:
        """Yield the metrics as families of the Prometheus client library."""
        from prometheus_client import core

        for name, description, read in self.observable_counters:
            yield core.CounterMetricFamily(exposed_name(name), description, read())
        yield from self.collect_labelled()
        for name, description, read in self.observable_gauges:
            yield core.GaugeMetricFamily(exposed_name(name), description, read())
        for counter in self.counters:
            family = core.CounterMetricFamily(
                exposed_name(counter.name), counter.description
            )
            for labels, value in counter.values.items():
                family.add_sample(f"{family.name}_total", dict(labels), value)
            yield family
        for histogram in self.histograms:
            family = core.HistogramMetricFamily(
                f"{exposed_name(histogram.name)}_seconds", histogram.description
            )
            for labels, series in histogram.series.items():
                add_series(family, dict(labels), series)
            yield family

    def collect_labelled(self) -> Iterator[object]:
        """Yield the metrics with labels that are read at a scrape."""
        from prometheus_client import core

        for counter in self.labelled_counters:
            family = core.CounterMetricFamily(
                exposed_name(counter.name), counter.description
            )
            for sample in counter.read():
                family.add_sample(f"{family.name}_total", sample.labels, sample.value)
            yield family
        for histogram in self.labelled_histograms:
            family = core.HistogramMetricFamily(
                f"{exposed_name(histogram.name)}_seconds", histogram.description
            )
            for sample in histogram.read():
                add_series(family, sample.labels, sample.value)
            yield family


def exposed_name(name: str) -> str:
    """Return the name under which a metric is exposed."""
    return name.replace(".", "_")


def add_series(
    family: object, labels: dict[str, str], series: measuring.Series
) -> None:
    """Add the samples of one set of labels to a histogram."""
    bounds = [*map(str, measuring.SECONDS_BOUNDS), "+Inf"]
    totals = itertools.accumulate(series.counts)
    for bound, total in zip(bounds, totals, strict=True):
        family.add_sample(f"{family.name}_bucket", {**labels, "le": bound}, total)
    family.add_sample(f"{family.name}_count", labels, sum(series.counts))
    family.add_sample(f"{family.name}_sum", labels, series.sum)
