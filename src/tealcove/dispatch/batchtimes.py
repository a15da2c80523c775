"""Time per token by the number of requests that run on a server."""

from __future__ import annotations

import typing
from collections.abc import Iterable

from tealcove import ids

# Weight of a new observation of one batch size, once there are enough of them.
WEIGHT = 0.05
# Bounds of one observation, so that a single stalled stream spoils nothing.
MIN_RATIO = 0.25
MAX_RATIO = 4.0
# Smaller differences between two batch sizes are within what is measured.
NEGLIGIBLE = 0.05
# Observations of a batch size before it is used.
MIN_OBSERVATIONS = 20
# Batch sizes are told apart only if the slowest takes so many times as long as the
# fastest. A server in a slow moment keeps its streams longer and so has a larger
# batch, which makes large batches seem slow by up to a third where they aren't.
SIGNIFICANT = 1.5


class OwnRun(typing.Protocol):
    """A request that this dispatcher granted."""

    started: ids.Instant
    is_adopted: bool
    # Predicted seconds to the end: by the load at its start, and usually.
    total: float
    usual_first: float
    usual_total: float
    # From the first event to the end, at the learned speed of any batch.
    stream_seconds: float
    # What Load.work_at returned at its start.
    work_at_start: float
    # What Load.progress_at returned at the first event; None: not known.
    progress_at_first: float | None


class BatchTimes:
    """Relative time per token by batch size, shared by servers with as many slots.

    Each server's own speed is learned apart from it, since it has too few observations
    to learn each batch size by itself.
    """

    def __init__(self, slots: int) -> None:
        # By batch size, from 0 on; the scale is arbitrary.
        self.ratios = [1.0] * (slots + 1)
        self.counts = [0] * (slots + 1)
        # The sizes that were observed often enough, and whether they differ.
        self.known: list[int] = []
        self.differ = False
        # What `ratio` returns, by batch size.
        self.table = [1.0] * (slots + 1)

    def learn(self, batch: float, ratio: float) -> None:
        """Learn from a stream that ran in a batch of this mean size."""
        place = self.place(batch)
        self.counts[place] += 1
        weight = max(WEIGHT, 1.0 / (self.counts[place] + 1))
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        # A geometric mean, in which single slow streams count less.
        self.ratios[place] *= (ratio / self.ratios[place]) ** weight
        if self.counts[place] == MIN_OBSERVATIONS:
            self.known = sorted([*self.known, place])
        if self.known:
            found = [self.ratios[size] for size in self.known]
            self.differ = max(found) > SIGNIFICANT * min(found)
            self.fill_table()

    def fill_table(self) -> None:
        """Compute the ratio of each size from those that are known."""
        ratio = self.ratios[self.known[0]]
        for size in range(len(self.table)):
            ratio = self.ratios[size] if size in self.known else ratio
            self.table[size] = ratio

    def ratio(self, batch: float) -> float:
        """Return the relative time per token in a batch of this size.

        For a size that was hardly observed, it is that of the nearest smaller one that
        was, or else of the nearest larger one.
        """
        return self.table[self.place(batch)]

    def place(self, batch: float) -> int:
        """Return the index of a batch size."""
        return min(len(self.ratios) - 1, max(1, round(batch)))


class ServerBatch:
    """The batch of one server: its mean size, and its effect on the time per token."""

    def __init__(self, times: BatchTimes) -> None:
        self.times = times
        # The mean ratio of what the server's time per token was learned from.
        self.usual = 1.0
        # Integral of the number of requests over time, and since when it holds.
        self.area = 0.0
        self.size = 0
        self.since = 0.0
        # What each stream has advanced by then, in seconds at the learned speed, and
        # the work of the server.
        self.progress = 0.0
        self.work = 0.0

    def resize(self, size: int, work: float, now: float) -> None:
        """Record the number of requests that run from now on.

        `work` is the work done by now, in seconds at the server's usual speed.
        """
        self.area = self.area_at(now)
        self.progress = self.progress_at(work)
        self.size, self.since, self.work = size, now, work

    def progress_at(self, work: float) -> float:
        """Return what each stream has advanced once so much work is done."""
        return self.progress + (work - self.work) / self.factor(self.size)

    def area_at(self, now: float) -> float:
        """Return the integral of the number of requests up to now."""
        return self.area + self.size * (now - self.since)

    def seconds_left(
        self, runs: Iterable[OwnRun], size: int, work: float
    ) -> list[float]:
        """Return the seconds at the usual speed until runs end in a batch."""
        progress = self.progress_at(work)
        factor = self.factor(size)
        left = []
        for run in runs:
            if run.progress_at_first is None:
                to_first = run.usual_first - (work - run.work_at_start)
                # Of an adopted one, the first event was perhaps told elsewhere.
                to_first = to_first if run.is_adopted else max(0.0, to_first)
                left.append(to_first + run.stream_seconds * factor)
            else:
                advanced = progress - run.progress_at_first
                left.append((run.stream_seconds - advanced) * factor)
        return left

    def learn(self, batch: float, ratio: float, weight: float) -> None:
        """Learn from a stream in a batch of this mean size.

        `ratio` is its time per token, relative to what was learned of the server, and
        `weight` the weight with which the server learns from it.
        """
        self.times.learn(batch, ratio * self.usual)
        self.usual += weight * (self.times.ratio(batch) - self.usual)

    def factor(self, size: int) -> float:
        """Return the time per token in a batch, relative to what was learned."""
        return self.times.ratio(size) / self.usual if self.times.differ else 1.0

    def growth(self, size: int) -> float:
        """Return by which part the time per token grows by one more request."""
        if size <= 0 or not self.times.differ:
            return 0.0
        found = self.times.ratio(size + 1) / self.times.ratio(size) - 1.0
        return found if found > NEGLIGIBLE else 0.0
