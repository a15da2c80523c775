"""Computes goodput, its upper bound and summary statistics."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable

import msgspec

from bench import callers, plans


class Share(msgspec.Struct, frozen=True):
    """A part of a total number."""

    part: int
    of: int

    @property
    def value(self) -> float:
        """The share as a fraction; 1 when the total is 0."""
        return self.part / self.of if self.of else 1.0


class Window(msgspec.Struct, frozen=True):
    """The time span of a run over which rates are computed, in seconds."""

    start: float
    stop: float

    @property
    def seconds(self) -> float:
        """The duration of the window."""
        return self.stop - self.start

    def contains(self, at: float) -> bool:
        """Return whether a time lies in the window."""
        return self.start <= at < self.stop


def goodput(sent: Iterable[callers.SentRequest]) -> Share:
    """Return the share of sent requests answered whole by their deadline."""
    requests = list(sent)
    return Share(sum(one.is_good for one in requests), len(requests))


def outcome_counts(sent: Iterable[callers.SentRequest]) -> dict[str, int]:
    """Return the number of requests by outcome, late completions separately."""
    counts: dict[str, int] = {}
    for one in sent:
        name = f"{one.outcome.value} {one.reason}".strip()
        if one.outcome is callers.Outcome.COMPLETED and not one.is_good:
            name = "completed late"
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def work_rate(
    plan: plans.Plan, lengths: Iterable[plans.Length], seconds: float
) -> float:
    """Return the work rate of some requests as a multiple of the capacity."""
    work = sum(plan.work(length) for length in lengths)
    return work / (plan.capacity() * seconds)


def work_and_bound(
    plan: plans.Plan, sent: Iterable[callers.SentRequest], window: Window
) -> tuple[float, float]:
    """Return the good work done and the bound on it, as multiples of the capacity.

    Work counts when its request ends. The bound is the load offered in the window,
    at most the capacity.
    """
    requests = list(sent)
    done = [
        s.length for s in requests if s.is_good and window.contains(s.at + s.seconds)
    ]
    offered = [s.length for s in requests if window.contains(s.at)]
    bound = min(1.0, work_rate(plan, offered, window.seconds))
    return work_rate(plan, done, window.seconds), bound


def percentile(values: Iterable[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method; NaN without values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    index = math.ceil(percent / 100.0 * len(ordered)) - 1
    return ordered[max(0, index)]


def spread(values: Iterable[float]) -> str:
    """Return mean and range of some runs' figures as table text; NaN is skipped."""
    found = [value for value in values if not math.isnan(value)]
    if not found:
        return "-"
    mean = statistics.fmean(found)
    return f"{mean:.3f} ({min(found):.3f}-{max(found):.3f})"
