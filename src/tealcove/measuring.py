"""Interfaces through which roles record metrics, independent of any exporter."""

from __future__ import annotations

import abc
import bisect
import typing

import msgspec

# Bucket bounds of histograms in seconds; OpenTelemetry's defaults are meant for
# milliseconds.
SECONDS_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300)


Value = typing.TypeVar("Value")


class Series:
    """The observations of one set of labels: counts by bucket, and their sum."""

    def __init__(self) -> None:
        self.counts = [0] * (len(SECONDS_BOUNDS) + 1)
        self.sum = 0.0

    def record(self, amount: float) -> None:
        """Record a value in seconds."""
        self.counts[bisect.bisect_left(SECONDS_BOUNDS, amount)] += 1
        self.sum += amount


class Sample(msgspec.Struct, typing.Generic[Value], frozen=True):
    """A value of a metric that is read at a scrape, with its labels."""

    labels: dict[str, str]
    value: Value


class Counter(typing.Protocol):
    """A monotonic counter with a value for each set of labels."""

    def add(self, amount: float, attributes: dict[str, str]) -> None:
        """Add an amount to the value of a set of labels."""


class Histogram(typing.Protocol):
    """A histogram with a series for each set of labels."""

    def record(self, amount: float, attributes: dict[str, str]) -> None:
        """Record a value."""


class Source(abc.ABC):
    """Creates the counters and histograms of roles."""

    # Whether spans are recorded; if not, callers may skip work that only serves spans.
    tracing = False

    @abc.abstractmethod
    def counter(self, name: str, description: str) -> Counter:
        """Return a counter."""

    @abc.abstractmethod
    def histogram(self, name: str, description: str) -> Histogram:
        """Return a histogram of seconds."""


class NoOpMetric(Counter, Histogram):
    """A metric that discards its values."""

    def add(self, amount: float, attributes: dict[str, str]) -> None:
        """See Counter."""

    def record(self, amount: float, attributes: dict[str, str]) -> None:
        """See Histogram."""


class NoOpSource(Source):
    """Creates metrics that discard their values."""

    def counter(self, name: str, description: str) -> Counter:
        """See Source."""
        return NoOpMetric()

    def histogram(self, name: str, description: str) -> Histogram:
        """See Source."""
        return NoOpMetric()
