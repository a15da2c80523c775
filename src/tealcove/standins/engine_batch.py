"""Continuous batching of an engine stand-in: slots, prefill and decode steps."""

from __future__ import annotations

import asyncio
import collections
import enum

from tealcove import ids
from tealcove.backends import prefixes
from tealcove.standins import (
    answers,
    engine_cache,
    engine_counts,
    engine_settings,
)

# Seconds between searches for expired runs; one at each step would cost more
# than the step itself.
EXPIRY_INTERVAL = 0.05


class RunState(enum.Enum):
    """The state of a run."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class Run:
    """One dispatch of a request; a second dispatch of the same id is a second run."""

    def __init__(self, request_id: str, prompt: str, max_tokens: int) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.key = answers.answer_key(prompt)
        self.chain = prefixes.chain(prompt)
        self.prompt_tokens = prefixes.count_tokens(prompt)
        self.cached_tokens = 0
        self.state = RunState.WAITING
        # Prompt tokens and output tokens computed so far, with fractions.
        self.prefilled = 0.0
        self.decoded = 0.0
        # The time up to which the run's work is accounted for.
        self.advanced_to = ids.Instant(0.0)
        # Connections that read the answer, and the time since which there are none.
        self.readers = 0
        self.unread_since: ids.Instant | None = None
        self.delivered = False
        # Set when the readers have new tokens or a new state to read.
        self.changed = asyncio.Event()

    @property
    def uncached_tokens(self) -> int:
        """The number of prompt tokens that must be computed."""
        return self.prompt_tokens - self.cached_tokens

    @property
    def produced(self) -> int:
        """The number of complete output tokens that can be sent."""
        return min(int(self.decoded), self.max_tokens)

    @property
    def ended(self) -> bool:
        """Whether the run has finished or been cancelled."""
        return self.state in (RunState.FINISHED, RunState.CANCELLED)

    def attach(self) -> None:
        """Record a connection that reads the answer."""
        self.readers += 1
        self.unread_since = None

    def detach(self, now: ids.Instant) -> None:
        """Record the end of a connection that read the answer."""
        self.readers -= 1
        if self.readers == 0:
            self.unread_since = now


class Batch:
    """All runs of one engine; admits every request, without priorities."""

    def __init__(
        self,
        settings: engine_settings.EngineSettings,
        cache: engine_cache.PrefixCache,
        counts: engine_counts.EngineCounts,
        idle: asyncio.Event,
    ) -> None:
        self.settings = settings
        # Clear while any answer is incomplete.
        self.idle = idle
        self.cache = cache
        self.counts = counts
        self.speed_factor = 1.0
        self.waiting: collections.deque[Run] = collections.deque()
        self.running: list[Run] = []
        # Runs by request id; kept until they can no longer be resumed.
        self.runs_by_id: dict[str, list[Run]] = {}
        self.next_expiry = ids.Instant(0.0)
        # Set once a run with the crash marker in its prompt has started.
        self.crashed = False

    def submit(self, run: Run, now: ids.Instant) -> None:
        """Queue a run; it starts at once if a slot is free."""
        self.idle.clear()
        self.runs_by_id.setdefault(run.request_id, []).append(run)
        self.waiting.append(run)
        self.fill_slots(now)

    def fill_slots(self, now: ids.Instant) -> None:
        """Start waiting runs in order of arrival."""
        while self.waiting and len(self.running) < self.settings.slots:
            self.start(self.waiting.popleft(), now)

    def start(self, run: Run, now: ids.Instant) -> None:
        """Start a run in a free slot, with the cached part of its prompt."""
        run.state = RunState.RUNNING
        run.advanced_to = now
        matched = self.cache.match(run.chain)
        run.cached_tokens = matched * prefixes.BLOCK_TOKENS
        self.running.append(run)
        marker = self.settings.crash_marker
        if marker and marker in run.prompt:
            self.crashed = True

    def step_seconds(self) -> float:
        """Return the duration of a decode step at the present batch size."""
        others = max(0, len(self.running) - 1)
        slowdown = 1.0 + self.settings.batch_slowdown * others
        return self.settings.decode_seconds_per_token * slowdown / self.speed_factor

    def tick(self, now: ids.Instant) -> None:
        """Compute the work done up to `now` and cancel expired runs."""
        step = self.step_seconds()
        for run in list(self.running):
            self.advance(run, step, now)
        self.expire(now)
        self.fill_slots(now)

    def skip_to(self, now: ids.Instant) -> None:
        """Advance the time without any work, as in a frozen process."""
        for run in self.running:
            run.advanced_to = now

    def advance(self, run: Run, step: float, now: ids.Instant) -> None:
        """Compute one run up to `now`: first its prefill, then its output tokens."""
        seconds = now - run.advanced_to
        run.advanced_to = now
        seconds = self.prefill(run, seconds, now)
        if seconds <= 0.0:
            return
        before = run.produced
        run.decoded += seconds / step
        if run.produced == before:
            return
        self.counts.decode_tokens += run.produced - before
        run.changed.set()
        if run.produced == run.max_tokens:
            run.state = RunState.FINISHED
            self.running.remove(run)

    def prefill(self, run: Run, seconds: float, now: ids.Instant) -> float:
        """Compute prompt tokens; return the seconds left for decoding."""
        remaining = run.uncached_tokens - run.prefilled
        if remaining <= 0.0 and run.decoded > 0.0:
            return seconds
        rate = self.settings.prefill_tokens_per_second * self.speed_factor
        done = min(remaining, seconds * rate)
        before = int(run.prefilled)
        run.prefilled += done
        if done == remaining:
            run.prefilled = float(run.uncached_tokens)
            self.cache.store(run.chain, now)
        self.counts.prefill_tokens += int(run.prefilled) - before
        return seconds - done / rate

    def expire(self, now: ids.Instant) -> None:
        """Cancel runs without a reader for `resume_seconds`."""
        if now < self.next_expiry:
            return
        self.next_expiry = ids.Instant(now + EXPIRY_INTERVAL)
        oldest = now - self.settings.resume_seconds
        for run in self.runs():
            if run.unread_since is not None and run.unread_since <= oldest:
                self.cancel(run, now)

    def cancel_request(self, request_id: str, now: ids.Instant) -> None:
        """Cancel all runs of a request and free their slots at once."""
        for run in list(self.runs_by_id.get(request_id, ())):
            self.cancel(run, now)

    def cancel(self, run: Run, now: ids.Instant) -> None:
        """Discard a run and start the next one in its slot."""
        self.discard(run)
        self.fill_slots(now)

    def discard(self, run: Run) -> None:
        """Remove a run; the prefill of an undelivered one counts as wasted."""
        self.runs_by_id[run.request_id].remove(run)
        if not self.runs_by_id[run.request_id]:
            del self.runs_by_id[run.request_id]
        if run.state is RunState.WAITING:
            self.waiting.remove(run)
        if run.state is RunState.RUNNING:
            self.running.remove(run)
        if run.delivered:
            return
        run.state = RunState.CANCELLED
        self.counts.prefill_wasted += int(run.prefilled)
        self.counts.cancelled += 1
        run.changed.set()
        self.update_idle()

    def deliver(self, run: Run) -> None:
        """Record that the last event of a run was written."""
        if run.delivered:
            return
        run.delivered = True
        engine_counts.increment(self.counts.completed, run.request_id)
        self.update_idle()

    def update_idle(self) -> None:
        """Set `idle` once all answers are delivered."""
        if all(run.delivered for run in self.runs()):
            self.idle.set()

    def clear(self) -> None:
        """Discard all runs, as a crash of the process does."""
        self.crashed = False
        for run in self.runs():
            self.discard(run)

    def runs(self) -> list[Run]:
        """Return all runs of `runs_by_id`."""
        return [run for runs in self.runs_by_id.values() for run in runs]
