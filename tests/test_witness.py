"""A caller that sends again after its entry's death gets the run that it paid for."""

from __future__ import annotations

import asyncio
import pathlib

from syrupy import assertion

from tealcove import tasks
from tests import callers, deployment

REQUESTS = 8
TOKENS = 120
# Generous, so that a busy machine doesn't change what is found.
WITNESS = {"dispatch": {"witness_timeout": 2.0}}
RESUME_SECONDS = 60.0


class Session:
    """Three instances before two engines, and callers whose requests have keys."""

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
        """Send the request with a number and a key of its own."""
        url = self.running.instances[to].url
        extra = {"Idempotency-Key": f"key {number}"}
        prompt = f"prompt {number}"
        session = self.running.session
        return await callers.complete(session, url, prompt, TOKENS, extra=extra)

    async def send_all(self, to: int) -> list[asyncio.Task[callers.Reply]]:
        """Send all requests to an instance, and wait until they are dispatched."""
        sent = [self.running.spawn(self.send(to, n)) for n in range(REQUESTS)]
        await self.until_dispatched(REQUESTS)
        return sent

    async def until_dispatched(self, count: int) -> None:
        """Wait until all engines together were sent so many requests."""

        async def enough() -> bool:
            return await self.dispatches() >= count

        await deployment.until(enough)

    async def dispatches(self) -> int:
        """Return how many requests were sent to the engines."""
        counts = [await self.running.counts(e) for e in self.running.engines]
        return sum(sum(found["dispatches"].values()) for found in counts)

    async def summarise(self, replies: list[callers.Reply]) -> dict[str, object]:
        """Return what came of the requests, alike on every run."""
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
    """Each request is dispatched twice, although its first run goes on.

    Symptom: engines do the prefill of a request twice. Sequence: an entry is killed
    while its requests run; their callers send them again to another entry at once.
    Cause: nobody but the dead entry knew where they run.
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
    """A pause of the entry costs a second run, or two entries fight over the first.

    Sequence: an entry is frozen, its callers leave and send again to another one;
    once that has answered, the first wakes. Cause: the frozen entry still counts as
    the one that has the run, or spoils what was taken from it.
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
    """A caller waits for ever, or isn't served, since nobody has the record.

    Sequence: an entry dies together with the witness of some of its requests.
    Only these are dispatched a second time; the others' witness is alive.
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
