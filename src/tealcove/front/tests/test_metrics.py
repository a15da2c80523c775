"""Tests of the metrics of an instance in their exposed form."""

from __future__ import annotations

from prometheus_client import parser

from tealcove.front import metrics
from tealcove.ingress import observer
from tealcove.tests import builders


def samples(found: metrics.Registry) -> dict[tuple[str, str], float]:
    """Return all exposed values by name and bucket, as a scraper reads them."""
    families = parser.text_string_to_metric_families(found.metrics_text().decode())
    return {
        (sample.name, sample.labels.get("le", "")): sample.value
        for family in families
        for sample in family.samples
    }


def observed(seen: observer.Observer) -> None:
    """Record a request that ends after 2 s, its first event after .1 s."""
    request = seen.begin(100.0)
    request.route = "r-1"
    request.first_event_at = 100.1
    seen.end(request, 102.0)


def test_requests_are_counted_by_duration():
    found = metrics.Registry()
    seen = observer.Observer(found)
    observed(seen)
    observed(seen)
    shown = samples(found)
    assert shown["tealcove_ingress_requests_total", ""] == 2.0
    name = "tealcove_ingress_duration_seconds"
    assert shown[f"{name}_bucket", "1"] == 0.0
    assert shown[f"{name}_bucket", "2.5"] == 2.0
    assert shown[f"{name}_bucket", "+Inf"] == 2.0
    assert shown[f"{name}_count", ""] == 2.0
    assert shown[f"{name}_sum", ""] == 4.0
    first = "tealcove_ingress_time_to_first_event_seconds"
    assert shown[f"{first}_bucket", "0.1"] + shown[f"{first}_bucket", "0.25"] >= 2.0
    # A scrape changes nothing.
    assert samples(found) == shown


def test_series_differ_by_labels():
    found = metrics.Registry()
    counter = found.counter("tealcove.some", "Some.")
    counter.add(1, {"route": "a"})
    counter.add(2, {"route": "b"})
    text = found.metrics_text().decode()
    assert 'tealcove_some_total{route="a"} 1.0' in text
    assert 'tealcove_some_total{route="b"} 2.0' in text


def test_observable_counters_are_read_at_each_scrape():
    found = metrics.Registry()
    dropped = [3.0]
    found.add_observable_counter(
        "tealcove.log.dropped_lines", "Lines.", lambda: dropped[0]
    )
    assert samples(found)["tealcove_log_dropped_lines_total", ""] == 3.0
    dropped[0] = 5.0
    assert samples(found)["tealcove_log_dropped_lines_total", ""] == 5.0


def test_the_output_equals_that_of_the_sdk():
    """Guard against empty dashboards after an update.

    Metrics exposed without the SDK must have the names and buckets that it gives them.
    """
    exported = builders.telemetry()
    found = metrics.Registry()
    for source in (exported, found):
        observed(observer.Observer(source))
    by_sdk = parser.text_string_to_metric_families(exported.metrics_text().decode())
    names = {
        (sample.name, sample.labels.get("le", "")): sample.value
        for family in by_sdk
        for sample in family.samples
        if sample.name.startswith("tealcove_")
    }
    assert names == samples(found)
