"""Runs the engine stand-in with dispatches counted by prompt.

A retry at another entry gets another request id, so counts by request id alone
can't show that its work was dispatched a second time.
"""

from __future__ import annotations

import asyncio
import hashlib
import sys

import msgspec
from aiohttp import web

from tealcove import ids, settingsfile
from tealcove.standins import backend, engine, engine_counts, server

DIGEST_BYTES = 8


class Counts(engine_counts.EngineCounts):
    """The stand-in's counts, with dispatches by prompt digest and slot use."""

    prompts: dict[str, int] = msgspec.field(default_factory=dict)
    # Occupied slots, integrated over the seconds since the start.
    slot_seconds: float = 0.0


class CountingEngine(engine.EngineStandin):
    """An engine stand-in that counts requests by prompt and measures slot use."""

    def __init__(self, settings: engine.EngineSettings) -> None:
        super().__init__(settings, engine.exit_process)
        self.counts = Counts()
        self.reset_state()
        self.counted_until = 0.0

    def advance(self, now: ids.Instant) -> None:
        """Add the slot use since the last step, then run the next step."""
        seconds = now - self.counted_until if self.counted_until else 0.0
        self.counts.slot_seconds += len(self.batch.running) * seconds
        self.counted_until = now
        super().advance(now)

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Count the prompt, then handle the request."""
        body = msgspec.json.decode(await request.read(), type=engine.CompletionRequest)
        engine_counts.increment(self.counts.prompts, digest(body.prompt))
        if not self.batch.running:
            # An idle engine takes no steps, so the idle time isn't counted yet.
            self.counted_until = server.loop_time()
        return await super().complete(request)


def digest(prompt: str) -> str:
    """Return the key of a prompt in the counts."""
    return hashlib.blake2b(prompt.encode(), digest_size=DIGEST_BYTES).hexdigest()


async def serve(path: str) -> None:
    """Run the engine until SIGTERM."""
    settings = settingsfile.read(path, engine.EngineSettings)
    await backend.serve_until_signal(CountingEngine(settings))


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
