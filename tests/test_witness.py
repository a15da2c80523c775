"""A caller that retries after its entry crashed gets the result of its first run."""

from __future__ import annotations

import asyncio
import pathlib

from syrupy import assertion

from tealcove import tasks
from tests import callers, deployment

REQUESTS = 8
TOKENS = 120
# Long, so that a busy machine doesn't change the results.
WITNESS = {"dispatch": {"witness_timeout": 2.0}}
RESUME_SECONDS = 60.0


class Session:
    """Three instances, two engines, and callers whose requests have keys."""

    def __init__(self, running: deployment.Deployment) -> None:
        self.running = running

    async def prepare(self) -> None:
        running = self.running
        for _ in range(2):
            await running.add_engine(
                decode_seconds_per_token=0.02, resume_seconds=RESUME_SECONDS
            )
        for _ in range(3):
            await running.add_instance(**WITNESS)
        await running.declare()
        for engine in running.engines:
            await running.wait_for_port(engine)
        for instance in running.instances:
            await running.wait_until_ready(instance)
        await running.wait_for_members()

    async def send(self, to: int, number: int) -> callers.Reply:
        """Send the request with a number, which has its own key."""
        url = self.running.instances[to].url
        extra = {"Idempotency-Key": f"key {number}"}
        prompt = f"prompt {number}"
        session = self.running.session
        return await callers.complete(session, url, prompt, TOKENS, extra=extra)

    async def send_all(self, to: int) -> list[asyncio.Task[callers.Reply]]:
        """Start all requests at an instance, and wait until they are dispatched."""
        sent = [self.running.spawn(self.send(to, n)) for n in range(REQUESTS)]
        await self.until_dispatched(REQUESTS)
        return sent

    async def until_dispatched(self, count: int) -> None:
        """Wait until all engines together have received `count` requests."""

        async def enough() -> bool:
            return await self.dispatches() >= count

        await deployment.until(enough)

    async def dispatches(self) -> int:
        """Return the number of requests that the engines received."""
        counts = [await self.running.counts(e) for e in self.running.engines]
        return sum(sum(found["dispatches"].values()) for found in counts)

    async def summarise(self, replies: list[callers.Reply]) -> dict[str, object]:
        """Summarise the replies, the same on every run."""
        return {
            "replies": [
                callers.describe(reply, f"prompt {number}", TOKENS)
                for number, reply in enumerate(replies)
            ],
            "dispatches of all requests": await self.dispatches(),
        }


async def test_requests_sent_again_after_their_entry_was_killed(
    tmp_path: pathlib.Path, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against a second dispatch of requests whose first run continues.

    An entry is killed while its requests run; their callers retry them at other
    entries at once. Engines would do the prefill of each request twice if only the
    dead entry knew where it runs.
    """
    async with deployment.Deployment(tmp_path) as running:
        session = Session(running)
        await session.prepare()
        first = await session.send_all(0)
        running.instances[0].kill()
        cut = await asyncio.gather(*first)
        again = await asyncio.gather(
            *(session.send(1 + number % 2, number) for number in range(REQUESTS))
        )
        outcomes = {reply.outcome for reply in cut}
        assert (outcomes, await session.summarise(again)) == snapshot


async def test_requests_sent_again_while_their_entry_is_frozen(
    tmp_path: pathlib.Path, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against a second run because of a paused entry.

    An entry is frozen, its callers disconnect and retry at another one; once that has
    answered, the first resumes. There would be a second run if the frozen entry still
    counted as owner of the run, or two entries would compete for the first run if the
    frozen one disturbed what was taken over from it.
    """
    async with deployment.Deployment(tmp_path) as running:
        session = Session(running)
        await session.prepare()
        first = await session.send_all(0)
        running.instances[0].freeze()
        await tasks.stop(first)
        again = await asyncio.gather(*(session.send(1, n) for n in range(REQUESTS)))
        running.instances[0].unfreeze()
        await running.wait_until_ready(running.instances[0])
        assert await session.summarise(again) == snapshot


async def test_requests_sent_again_when_their_witness_is_dead_too(
    tmp_path: pathlib.Path, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against a caller that waits forever or isn't served without a record.

    An entry dies together with the witness of some of its requests. Only these are
    dispatched a second time; the others' witness is alive.
    """
    async with deployment.Deployment(tmp_path) as running:
        session = Session(running)
        await session.prepare()
        first = await session.send_all(0)
        running.instances[0].kill()
        running.instances[1].kill()
        await asyncio.gather(*first)
        again = await asyncio.gather(*(session.send(2, n) for n in range(REQUESTS)))
        assert await session.summarise(again) == snapshot
