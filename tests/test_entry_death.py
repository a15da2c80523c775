"""Entries and dispatchers that crash or freeze under load."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random

from tests import callers, deployment

REQUESTS = 400
MAX_LENGTH = 60


async def test_entry_killed_and_dispatcher_frozen(tmp_path: pathlib.Path) -> None:
    """Guards against lost, mixed-up and repeated requests after a crash.

    Requests of all tiers run through six instances; the dispatcher of the cell is
    frozen, another instance is killed, the frozen one resumes. Tickets and grants
    are in the memory of the frozen or dead instance; still, no caller may wait
    forever or get another's answer, and no engine may run a request twice.
    """
    async with deployment.Deployment(tmp_path) as running:
        for _ in range(6):
            await running.add_engine(decode_seconds_per_token=0.004)
        for _ in range(6):
            await running.add_instance()
        await running.declare()
        for instance in running.instances:
            await running.wait_until_ready(instance)
        await running.wait_for_members()
        frozen = await running.dispatcher("engines/0")
        killed = next(i for i in running.instances if i is not frozen)
        generator = random.Random(1)
        lengths = [generator.choice((2, 4, MAX_LENGTH)) for _ in range(REQUESTS)]
        targets = [running.instances[n % 6] for n in range(REQUESTS)]
        calls = [
            asyncio.create_task(send(running, n, targets[n], lengths[n]))
            for n in range(REQUESTS)
        ]
        others = [calls[n] for n in range(REQUESTS) if targets[n] is not frozen]
        await wait_for_done(calls, 40)
        frozen.freeze()
        await wait_for_done(others, 100)
        killed.kill()
        await wait_for_done(others, 250)
        frozen.unfreeze()
        replies = await asyncio.gather(*calls)
        check_replies(replies, targets, lengths, killed)
        assert await dispatches(running) <= {1}


async def send(
    running: deployment.Deployment,
    number: int,
    target: deployment.Process,
    length: int,
) -> callers.Reply:
    """Send one of the requests, after a delay that depends on its number."""
    tier = ("high", "middle", "low")[number % 3]
    await asyncio.sleep(number * 0.01)
    return await callers.complete(
        running.session, target.url, f"prompt {number}", length, tier
    )


async def wait_for_done(calls: list[asyncio.Task[callers.Reply]], count: int) -> None:
    """Wait until `count` calls are done."""

    async def enough() -> bool:
        return sum(call.done() for call in calls) >= count

    await deployment.until(enough)


def check_replies(
    replies: list[callers.Reply],
    targets: list[deployment.Process],
    lengths: list[int],
    killed: deployment.Process,
) -> None:
    """Check that only callers of the killed instance lost their connection."""
    for number, reply in enumerate(replies):
        if reply.outcome == "cut":
            assert targets[number] is killed
        elif reply.outcome == "completed":
            assert callers.is_own_answer(reply, f"prompt {number}", lengths[number])
    outcomes = collections.Counter(reply.outcome for reply in replies)
    assert set(outcomes) <= {"completed", "cut"}, outcomes


async def dispatches(running: deployment.Deployment) -> set[int]:
    """Return the distinct dispatch counts of single requests over all engines."""
    total: collections.Counter[str] = collections.Counter()
    for engine in running.engines:
        counts = await running.counts(engine)
        total.update(counts["dispatches"])
    return set(total.values())
