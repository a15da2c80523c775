"""What roles measure with, whatever shows or exports it."""

from __future__ import annotations

import abc
import typing

# Bounds of histograms in seconds; those of OpenTelemetry's default are meant for
# milliseconds.
SECONDS_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300)


class Counter(typing.Protocol):
    """A number that only grows, by labels."""

    def add(self, amount: float, attributes: dict[str, str]) -> None:
        """Add to it."""


class Histogram(typing.Protocol):
    """How often values within some bounds were seen, by labels."""

    def record(self, amount: float, attributes: dict[str, str]) -> None:
        """Take in a value."""


class Source(abc.ABC):
    """Gives roles what they count and measure with."""

    # Whether any span is ever recorded; callers may otherwise leave out work that
    # only serves spans.
    tracing = False

    @abc.abstractmethod
    def counter(self, name: str, description: str) -> Counter:
        """Return a counter."""

    @abc.abstractmethod
    def histogram(self, name: str, description: str) -> Histogram:
        """Return a histogram of seconds."""


class NoOpMetric(Counter, Histogram):
    """A metric that nobody looks at."""

    def add(self, amount: float, attributes: dict[str, str]) -> None:
        """See Counter."""

    def record(self, amount: float, attributes: dict[str, str]) -> None:
        """See Histogram."""


class NoOpSource(Source):
    """Measures nothing."""

    def counter(self, name: str, description: str) -> Counter:
        """See Source."""
        return NoOpMetric()

    def histogram(self, name: str, description: str) -> Histogram:
        """See Source."""
        return NoOpMetric()
