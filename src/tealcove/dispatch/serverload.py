"""The load that a backend server states, and what follows from it."""

from __future__ import annotations

import collections
import typing
from collections.abc import Iterable

import logbook

from tealcove import ids
from tealcove.dispatch import batchtimes, loadevidence, messages, timefactor

log = logbook.Logger("dispatch")

# Seconds for which a request may still be counted by its server after its end is known
# here: the server notices the end of a cancelled one later.
END_SECONDS = 0.1
# A server is loaded if work takes so many times its usual time, or if others occupy so
# large a part of its slots.
LOADED_FACTOR = 1.5
LOADED_SHARE = 0.5


class Predicted(typing.NamedTuple):
    """Predicted seconds to a request's first event and to its end."""

    first: float
    total: float


class Load:
    """What a server states of its load; this one isn't asked, and changes nothing."""

    def record(
        self,
        stated: messages.StatedLoad,
        at: ids.Instant,
        runs: Iterable[batchtimes.OwnRun],
    ) -> None:
        """Record a statement that was made at an instant, with the runs known now."""

    def record_start(self, running: int, now: ids.Instant) -> None:
        """Record the start of a run, with which so many run."""

    def record_end(self, started: ids.Instant, running: int, now: ids.Instant) -> None:
        """Record the end of a run that was started at an instant; so many go on."""

    def batch_area(self, now: ids.Instant) -> float:
        """Return the integral of the number of running requests up to now."""
        return 0.0

    def learn_batch(self, batch: float, ratio: float, weight: float) -> None:
        """Learn from a stream in a batch of this mean size; see ServerBatch.learn."""

    def batch_factor(self, running: int) -> float:
        """Return the time per token with so many requests, relative to the learned."""
        return 1.0

    def batch_growth(self, running: int) -> float:
        """Return by which part one more request slows down so many running ones."""
        return 0.0

    def record_first(self, plain: float, stated: float, measured: float) -> None:
        """Record a measured time to a first event, with two predictions of it."""

    def occupied(self, now: ids.Instant) -> int:
        """Return the slots that requests of others occupy."""
        return 0

    def is_high(self, now: ids.Instant) -> bool:
        """Tell whether the server states a high load."""
        return False

    def predict(self, first: float, total: float, now: ids.Instant) -> Predicted:
        """Return the predicted times of a request that usually takes these."""
        return Predicted(first, total)

    def stated_seconds(self, seconds: float, now: ids.Instant) -> float:
        """Return a predicted time by the statement alone, whether or not trusted."""
        return seconds

    def work_at(self, now: ids.Instant) -> float:
        """Return the work done by now in seconds at the usual speed, from any zero."""
        return now

    def progress_at(self, now: ids.Instant) -> float:
        """Return what each stream has advanced by now; see ServerBatch.progress_at."""
        return now

    def ends(
        self, runs: Iterable[batchtimes.OwnRun], batch: int, now: ids.Instant
    ) -> list[float]:
        """Return when runs are predicted to end, at the earliest now.

        `batch` requests are going to run, others' included.
        """
        return [max(now, run.started + run.total) for run in runs]

    def factor(self, now: ids.Instant) -> float:
        """Return by how much longer than usual work takes now."""
        return 1.0

    def usual_seconds(self, seconds: float, ended: ids.Instant) -> float:
        """Return how long work usually takes that took `seconds` until an instant."""
        return seconds


UNSTATED = Load()


class StatedLoad(Load):
    """What one server states, as far as it is fresh and agrees with measurements."""

    def __init__(
        self,
        server: ids.BackendServerId,
        slots: int,
        cell: StatedLoads,
        times: batchtimes.BatchTimes,
    ) -> None:
        self.cell = cell
        self.server = server
        self.slots = slots
        self.time = timefactor.TimeFactor()
        self.factors = loadevidence.FactorEvidence(cell.errors)
        self.counts = loadevidence.CountEvidence()
        self.batch = batchtimes.ServerBatch(times)
        # When the newest statement was made, and what it says.
        self.stated_at = -timefactor.FRESH_SECONDS
        self.waiting = 0.0
        self.others = 0.0
        # Start and end of runs that ended lately.
        self.ended: collections.deque[tuple[float, float]] = collections.deque()

    def record(
        self,
        stated: messages.StatedLoad,
        at: ids.Instant,
        runs: Iterable[batchtimes.OwnRun],
    ) -> None:
        """See Load."""
        self.cell.record_factor(stated.time_factor)
        if at <= self.stated_at or not self.cell.is_used:
            return
        self.stated_at = at
        self.time.record(stated.time_factor, at)
        own = sum(run.is_adopted or run.started <= at for run in runs)
        own += sum(began <= at < end for began, end in self.ended)
        count = stated.running + stated.waiting
        self.waiting = stated.waiting
        self.others = max(0.0, count - own)
        if self.counts.record(count, own):
            log_trust(self.server, "counts of requests", self.counts.is_trusted)

    def record_start(self, running: int, now: ids.Instant) -> None:
        """See Load."""
        self.resize(running, now)

    def resize(self, running: int, now: ids.Instant) -> None:
        """Record the number of own requests that run from now on."""
        self.batch.resize(running + self.occupied(now), self.work_at(now), now)

    def batch_area(self, now: ids.Instant) -> float:
        """See Load."""
        return self.batch.area_at(now)

    def learn_batch(self, batch: float, ratio: float, weight: float) -> None:
        """See Load."""
        if self.cell.is_used:
            self.batch.learn(batch, ratio, weight)

    def batch_factor(self, running: int) -> float:
        """See Load."""
        return self.batch.factor(running)

    def batch_growth(self, running: int) -> float:
        """See Load."""
        return self.batch.growth(running)

    def record_end(self, started: ids.Instant, running: int, now: ids.Instant) -> None:
        """See Load."""
        self.resize(running, now)
        self.ended.append((started, now + END_SECONDS))
        while self.ended[0][1] < now - timefactor.FRESH_SECONDS:
            self.ended.popleft()

    def record_first(self, plain: float, stated: float, measured: float) -> None:
        """See Load."""
        if self.factors.record(stated, plain, measured):
            self.time.trust(1.0 if self.factors.is_trusted else 0.0)
            log_trust(self.server, "time factors", self.factors.is_trusted)

    def is_fresh(self, now: ids.Instant) -> bool:
        """Tell whether the newest statement still has an effect."""
        return now - self.stated_at < timefactor.FRESH_SECONDS

    def occupied(self, now: ids.Instant) -> int:
        """See Load."""
        if not self.others or not self.counts.is_trusted or not self.is_fresh(now):
            return 0
        return int(self.others)

    def is_high(self, now: ids.Instant) -> bool:
        """See Load."""
        if not self.is_fresh(now):
            return False
        has_others = self.waiting > 0.0 or self.others >= LOADED_SHARE * self.slots
        if has_others and self.counts.is_trusted:
            return True
        return self.time.present(now) >= LOADED_FACTOR

    def predict(self, first: float, total: float, now: ids.Instant) -> Predicted:
        """See Load."""
        if not self.time.has_effect or not self.is_fresh(now):
            return Predicted(first, total)
        return Predicted(self.time.stretch(first, now), self.time.stretch(total, now))

    def stated_seconds(self, seconds: float, now: ids.Instant) -> float:
        """See Load."""
        return self.time.stretch_as_stated(seconds, now)

    def work_at(self, now: ids.Instant) -> float:
        """See Load."""
        return self.time.work_at(now)

    def progress_at(self, now: ids.Instant) -> float:
        """See Load."""
        return self.batch.progress_at(self.work_at(now))

    def ends(
        self, runs: Iterable[batchtimes.OwnRun], batch: int, now: ids.Instant
    ) -> list[float]:
        """See Load."""
        if self.batch.times.differ:
            work = self.work_at(now)
            return self.time.ends(self.batch.seconds_left(runs, batch, work), now)
        if not self.time.samples:
            return super().ends(runs, batch, now)
        done = self.time.work_at(now)
        left = (run.usual_total - (done - run.work_at_start) for run in runs)
        return self.time.ends(left, now)

    def factor(self, now: ids.Instant) -> float:
        """See Load."""
        return self.time.present(now)

    def usual_seconds(self, seconds: float, ended: ids.Instant) -> float:
        """See Load."""
        if not self.time.samples:
            return seconds
        return self.time.usual_seconds(ended - seconds, ended)


class Loads:
    """Creates the state of each server's load; this one leaves statements unused."""

    def of_server(self, server: ids.BackendServerId, slots: int) -> Load:
        """Return the state of a new server's load."""
        return UNSTATED


class StatedLoads(Loads):
    """The loads of the servers of one cell, which share the evidence of falsehood.

    `only_shared`: they aren't used before a server states how long work takes. Servers
    that state counts alone run nothing that the dispatcher doesn't know of.
    """

    def __init__(self, only_shared: bool = False) -> None:
        self.is_used = not only_shared
        self.errors = loadevidence.Errors(loadevidence.FLEET_DECAY)
        # By number of slots.
        self.times: dict[int, batchtimes.BatchTimes] = {}

    def of_server(self, server: ids.BackendServerId, slots: int) -> Load:
        """See Loads."""
        times = self.times.setdefault(slots, batchtimes.BatchTimes(slots))
        return StatedLoad(server, slots, self, times)

    def record_factor(self, factor: float | None) -> None:
        """Record the time factor of a statement; None: it has none."""
        if factor is not None and not self.is_used:
            log.info("the load that servers state is used, as they share machines")
            self.is_used = True


def log_trust(server: ids.BackendServerId, what: str, is_trusted: bool) -> None:
    """Log that a server's statements are found false, or trusted again."""
    if is_trusted:
        log.info("{} of {} are trusted again", what, server)
    else:
        log.warning("{} of {} are false: predictions are worse with them", what, server)
