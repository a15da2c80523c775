"""The load report of a backend server, which lags behind its actual load."""

from __future__ import annotations

import collections

import msgspec

from tealcove import ids
from tealcove.standins import backend_settings

# Minimum distance of samples as a share of the lag, which limits their number.
SAMPLE_SHARE = 0.05


class LoadReport(msgspec.Struct, frozen=True):
    """The load and state of a backend server."""

    running: int
    waiting: int
    slots: int
    cached_blocks: int
    cache_blocks: int
    state: backend_settings.BackendState


class Sample(msgspec.Struct, frozen=True):
    """The load at one point in time."""

    at: ids.Instant
    report: LoadReport


class LaggingLoad:
    """Keeps samples of the load and reports the one that is as old as the lag."""

    def __init__(self, lag: float) -> None:
        self.lag = lag
        # While True, the last report is repeated.
        self.stale = False
        self.shown: LoadReport | None = None
        self.samples: collections.deque[Sample] = collections.deque()

    def needs_sample(self, now: ids.Instant) -> bool:
        """Tell whether enough time has passed since the last sample."""
        if not self.samples:
            return True
        return now - self.samples[-1].at >= self.lag * SAMPLE_SHARE

    def sample(self, report: LoadReport, now: ids.Instant) -> None:
        """Record a sample."""
        self.samples.append(Sample(now, report))
        self.discard_old(now)

    def discard_old(self, now: ids.Instant) -> None:
        """Drop samples older than the newest one that has reached the lag."""
        while len(self.samples) > 1 and self.samples[1].at <= now - self.lag:
            self.samples.popleft()

    def show(self, now: ids.Instant) -> LoadReport:
        """Return the newest sample that has reached the lag, or else the oldest."""
        self.discard_old(now)
        if not self.stale or self.shown is None:
            self.shown = self.samples[0].report
        return self.shown
