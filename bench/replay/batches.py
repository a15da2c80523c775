"""An engine with chunked prefill and batched decoding, simulated in virtual time."""

from __future__ import annotations

import msgspec

from bench.replay import mix


class RunningRequest(msgspec.Struct):
    """A request that an engine has accepted and not completed."""

    number: int
    prompt: int
    prompt_left: int
    tokens_left: int
    started: float
    # Earliest start of its prefill.
    ready_at: float
    tokens: int = 0
    first_at: float | None = None


class StepResult(msgspec.Struct, frozen=True):
    """The first events and completions of one engine step, and when it ends."""

    ends_at: float
    first_events: tuple[RunningRequest, ...]
    completed: tuple[RunningRequest, ...]


class Batch:
    """The requests that run on one engine."""

    def __init__(self, engine: mix.Engine) -> None:
        self.engine = engine
        self.running: dict[int, RunningRequest] = {}
        # Whether a step is in progress.
        self.is_stepping = False
        self.busy_seconds = 0.0
        self.read_tokens = 0
        # Prompt tokens that were prefilled for requests that were cancelled.
        self.wasted_tokens = 0

    def add(self, number: int, request: mix.Request, now: float) -> None:
        """Add a request to the batch."""
        self.running[number] = RunningRequest(
            number,
            request.prompt,
            request.prompt,
            request.output,
            now,
            now + self.engine.startup_seconds,
        )

    def cancel(self, number: int, request: mix.Request) -> None:
        """Remove a request from the batch, if it's running."""
        work = self.running.pop(number, None)
        if work is not None:
            self.wasted_tokens += request.prompt - work.prompt_left

    def step(self, now: float) -> StepResult:
        """Run the step that begins now; the batch must not be empty."""
        reading = next(
            (w for w in self.running.values() if w.prompt_left and w.ready_at <= now),
            None,
        )
        writing = [w for w in self.running.values() if not w.prompt_left]
        if reading is None and not writing:
            return StepResult(min(w.ready_at for w in self.running.values()), (), ())
        chunk = 0 if reading is None else min(self.engine.chunk, reading.prompt_left)
        seconds = self.engine.step_seconds
        seconds += self.engine.per_request_seconds * len(self.running)
        seconds += chunk * self.engine.prompt_seconds
        if reading is not None:
            read = reading.prompt - reading.prompt_left
            seconds += chunk * (read + chunk / 2) * self.engine.attention_seconds * 2
        at = now + seconds
        self.busy_seconds += seconds
        self.read_tokens += chunk
        if reading is not None:
            reading.prompt_left -= chunk
        first = [work for work in writing if self.write(work, at)]
        ended = [work for work in writing if not work.tokens_left]
        for work in ended:
            del self.running[work.number]
        return StepResult(at, tuple(first), tuple(ended))

    def write(self, work: RunningRequest, at: float) -> bool:
        """Generate one token; return whether it completes the first event."""
        work.tokens += 1
        work.tokens_left -= 1
        is_event = work.tokens >= self.engine.first_event_tokens or not work.tokens_left
        if work.first_at is None and is_event:
            work.first_at = at
            return True
        return False
