"""A backend server's load report, which shows it as it was some time ago."""

from __future__ import annotations

import collections

import msgspec

from tealcove import ids
from tealcove.standins import backend_settings

# Samples are at least this part of the lag apart, so that few are kept.
SAMPLE_SHARE = 0.05


class LoadReport(msgspec.Struct, frozen=True):
    """How busy a backend server is."""

    running: int
    waiting: int
    slots: int
    cached_blocks: int
    cache_blocks: int
    state: backend_settings.BackendState


class Sample(msgspec.Struct, frozen=True):
    """The load at an instant."""

    at: ids.Instant
    report: LoadReport


class LaggingLoad:
    """Samples of the load, and the one that is old enough to be shown."""

    def __init__(self, lag: float) -> None:
        self.lag = lag
        # A stale report stays as it was last shown.
        self.stale = False
        self.shown: LoadReport | None = None
        self.samples: collections.deque[Sample] = collections.deque()

    def needs_sample(self, now: ids.Instant) -> bool:
        """Whether it's time for the next sample."""
        if not self.samples:
            return True
        return now - self.samples[-1].at >= self.lag * SAMPLE_SHARE

    def sample(self, report: LoadReport, now: ids.Instant) -> None:
        """Keep a sample."""
        self.samples.append(Sample(now, report))
        self.discard_old(now)

    def discard_old(self, now: ids.Instant) -> None:
        """Drop samples older than the newest one that may be shown."""
        while len(self.samples) > 1 and self.samples[1].at <= now - self.lag:
            self.samples.popleft()

    def show(self, now: ids.Instant) -> LoadReport:
        """Return the newest sample as old as the lag, or else the oldest one."""
        self.discard_old(now)
        if not self.stale or self.shown is None:
            self.shown = self.samples[0].report
        return self.shown
