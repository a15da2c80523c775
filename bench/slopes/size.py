"""The full deployment size, and extrapolation to it from measured sizes."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence

import msgspec

INSTANCES = 580
DATA_CENTRES = 16
ENGINES = 2600
ACCOUNTS = 39_000
REQUESTS_A_SECOND = 16_000.0
TOKENS_A_SECOND = 7e6
CHANGES_A_DAY = 4400.0
SECONDS_A_DAY = 86_400.0
# The budget of one instance for control work.
CORE_PERCENT = 2.4
MEMORY_MB = 32.0
BYTES_A_SECOND = 18_000.0
MICROSECONDS = 1e6
# The platform's calls a second, for everything.
READS_A_SECOND = 2000.0
WRITES_A_SECOND = 500.0


class Line(msgspec.Struct, frozen=True):
    """A cost that grows linearly with the size."""

    fixed: float
    slope: float

    def cost_at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.fixed + self.slope * size


def fit(sizes: Sequence[float], costs: Sequence[float]) -> Line:
    """Return the line of least squares; raises StatisticsError below two sizes."""
    found = statistics.linear_regression(sizes, costs)
    return Line(found.intercept, found.slope)


def extrapolation_factor(size: float, sizes: Sequence[float]) -> float:
    """Return how many times larger a size is than the largest measured one."""
    return max(1.0, size / max(sizes))


def per_instance(total: float, instances: int = INSTANCES) -> float:
    """Return one instance's equal part of the deployment's total."""
    return total / instances


class Result(msgspec.Struct, frozen=True):
    """A measured cost at one size: median, minimum and maximum of several runs."""

    median: float
    minimum: float
    maximum: float


def repeat(measure: Callable[[], float], runs: int) -> Result:
    """Measure several times."""
    return summarise([measure() for _ in range(runs)])


def summarise(found: Sequence[float]) -> Result:
    """Return the median, minimum and maximum of some figures."""
    return Result(statistics.median(found), min(found), max(found))


def format_result(result: Result, digits: int = 1) -> str:
    """Return a result as printed text."""
    median, minimum, maximum = (
        f"{value:.{digits}f}"
        for value in (result.median, result.minimum, result.maximum)
    )
    return f"{median} ({minimum} - {maximum})"
