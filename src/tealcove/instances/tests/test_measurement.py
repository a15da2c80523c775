"""The load as fractions of what the machine has."""

from __future__ import annotations

import pytest

from tealcove.instances import figures, measurement
from tealcove.instances.tests import builders

LIMITS = measurement.Limits(
    link_bytes_per_second=1_000_000.0, memory_bytes=200e6, descriptors=4100
)
SAMPLE = 0.1


def sampled(
    source: builders.FakeSource,
    seconds: float,
    late: float = 0.0,
    sent: float = 0.0,
    received: float = 0.0,
    limits: measurement.Limits = LIMITS,
) -> measurement.Load:
    """Return the load after some seconds of equal samples; bytes are a second's."""
    measured = measurement.Measurement(source, limits, builders.instant(0.0))
    found = measurement.Load()
    for number in range(1, round(seconds / SAMPLE) + 1):
        source.bodies.sent += round(sent * SAMPLE)
        source.bodies.received += round(received * SAMPLE)
        found = measured.sample(late, builders.instant(number * SAMPLE))
    return found


def test_figures_that_cannot_be_read_count_as_headroom() -> None:
    """Guards against instances that refuse everything where /proc is missing."""
    source = builders.FakeSource()
    source.memory_bytes = source.open = None
    assert sampled(source, 3.0).largest == 0.0


def test_machines_without_limits_have_headroom() -> None:
    source = builders.FakeSource()
    source.memory_bytes, source.open = 10e9, 100_000
    assert sampled(source, 3.0, limits=measurement.Limits()).largest == 0.0


def test_a_late_event_loop_is_a_load() -> None:
    """Guards against callers of an instance whose processor can't keep up."""
    found = sampled(builders.FakeSource(), 5.0, late=0.08)
    # The weight of a late sample is that of the time before it was due.
    assert found.delay == pytest.approx(0.8, abs=0.3)
    assert found.largest == found.delay


def test_one_standstill_is_no_overload() -> None:
    """Guards against refusals because the process was stopped for some seconds."""
    source = builders.FakeSource()
    measured = measurement.Measurement(source, LIMITS, builders.instant(0.0))
    found = measured.sample(5.0, builders.instant(5.0 + SAMPLE))
    assert 0.0 < found.largest < 0.3


def test_traffic_counts_in_both_directions_for_callers_and_in_one_for_refusals() -> (
    None
):
    """Guards against refusals on a link whose directions are both half used."""
    source = builders.FakeSource()
    found = sampled(source, 8.0, sent=460_000.0, received=440_000.0)
    assert found.link == pytest.approx(0.9, rel=0.01)
    assert found.direction == pytest.approx(0.46, rel=0.01)
    assert found.largest == found.link
    assert found.refusing == found.direction


def test_unread_answers_are_memory() -> None:
    """Guards against slow readers where the resident memory can't be read."""
    source = builders.FakeSource()
    source.memory_bytes = None
    source.unread_bytes = 190e6
    assert sampled(source, 0.2).memory == pytest.approx(0.95)


def test_descriptors_are_counted_seldom() -> None:
    """Guards against listing thousands of descriptors several times a second."""
    source = builders.FakeSource()
    source.open = 4000
    found = sampled(source, 5.0)
    assert found.descriptors == pytest.approx(4000 / 4100)
    assert source.counts <= 6


def test_the_figures_of_this_process_can_be_read() -> None:
    source = figures.ProcessSource(lambda: 7.0, figures.Traffic)
    assert source.memory() > 1e6
    assert source.descriptors() > 2
    assert source.unread() == 7.0
    assert source.traffic() == figures.Traffic()
