"""The arithmetic of goodput, and its bound."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable

import msgspec

from bench import callers, plans


class Share(msgspec.Struct, frozen=True):
    """How many of how many."""

    part: int
    of: int

    @property
    def value(self) -> float:
        """The share; 1 when there was nothing to do."""
        return self.part / self.of if self.of else 1.0


class Window(msgspec.Struct, frozen=True):
    """The part of a run that counts for rates, in seconds."""

    start: float
    stop: float

    @property
    def seconds(self) -> float:
        """How long it is."""
        return self.stop - self.start

    def contains(self, at: float) -> bool:
        """Tell whether a moment lies in it."""
        return self.start <= at < self.stop


def goodput(sent: Iterable[callers.SentRequest]) -> Share:
    """Return the requests completed whole and in time, of all sent."""
    found = list(sent)
    return Share(sum(one.is_good for one in found), len(found))


def outcome_counts(sent: Iterable[callers.SentRequest]) -> dict[str, int]:
    """Return how many requests ended in each way, late ones apart."""
    found: dict[str, int] = {}
    for one in sent:
        name = f"{one.outcome.value} {one.reason}".strip()
        if one.outcome is callers.Outcome.COMPLETED and not one.is_good:
            name = "completed late"
        found[name] = found.get(name, 0) + 1
    return dict(sorted(found.items()))


def work_rate(
    plan: plans.Plan, lengths: Iterable[plans.Length], seconds: float
) -> float:
    """Return the work of some requests, as a multiple of the capacity."""
    work = sum(plan.work(length) for length in lengths)
    return work / (plan.capacity() * seconds)


def work_and_bound(
    plan: plans.Plan, sent: Iterable[callers.SentRequest], window: Window
) -> tuple[float, float]:
    """Return the good work done and the bound on it, as multiples of the capacity.

    Work counts when it ends. The bound is what was offered in the window, and
    the capacity at the most.
    """
    found = list(sent)
    done = [s.length for s in found if s.is_good and window.contains(s.at + s.seconds)]
    offered = [s.length for s in found if window.contains(s.at)]
    bound = min(1.0, work_rate(plan, offered, window.seconds))
    return work_rate(plan, done, window.seconds), bound


def percentile(values: Iterable[float], percent: float) -> float:
    """Return the smallest value that so many percent don't exceed; NaN for none."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    index = math.ceil(percent / 100.0 * len(ordered)) - 1
    return ordered[max(0, index)]


def spread(values: Iterable[float]) -> str:
    """Return mean and range of some runs' figures, as tables show them."""
    found = [value for value in values if not math.isnan(value)]
    if not found:
        return "-"
    mean = statistics.fmean(found)
    return f"{mean:.3f} ({min(found):.3f}-{max(found):.3f})"
