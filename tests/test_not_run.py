"""A request whose answer is `not_run` was never run."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random

import syrupy

from tests import callers, deployment

REQUESTS = 300
LENGTHS = (2, 10, 60)
DEADLINES = ("0.3", "1.0", "4.0")


async def test_a_burst_amid_failures(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against a request that is run although its answer is `not_run`.

    After `not_run` a caller sends its quote by hand, so its client would receive it
    twice. The test sends a burst of all tiers with short deadlines to three
    instances; engines refuse connections for a while, the dispatcher is frozen and
    killed, and the platform is down for non-idempotent requests. A refusal may race
    with a grant or a dispatch.
    """
    async with deployment.Deployment(tmp_path) as running:
        for _ in range(3):
            await running.add_engine(decode_seconds_per_token=0.005, slots=2)
        for _ in range(3):
            await running.add_instance()
        await running.declare(slots=2)
        for instance in running.instances:
            await running.wait_until_ready(instance)
        await running.wait_for_members()
        dispatcher = await running.dispatcher("engines/0")
        others = [i for i in running.instances if i is not dispatcher]
        generator = random.Random(7)
        calls = [
            running.spawn(send(running, generator, number, others))
            for number in range(REQUESTS)
        ]
        await wait_for_done(calls, 30)
        await running.set_faults(running.engines[0], {"refuse_seconds": 0.5})
        await wait_for_done(calls, 80)
        dispatcher.freeze()
        await wait_for_done(calls, 130)
        await running.set_faults(running.platform, {"down": True})
        dispatcher.kill()
        await wait_for_done(calls, 180)
        await running.set_faults(running.engines[1], {"refuse_seconds": 0.5})
        await running.set_faults(running.platform, {})
        replies = await asyncio.gather(*calls)
        assert await describe(running, replies) == snapshot


async def send(
    running: deployment.Deployment,
    generator: random.Random,
    number: int,
    entries: list[deployment.Process],
) -> callers.Reply:
    """Send one request of the burst."""
    tier = generator.choice(("high", "middle", "low"))
    extra = {"Tealcove-Deadline": generator.choice(DEADLINES)}
    length = generator.choice(LENGTHS)
    if number % 5 == 0:
        extra["Tealcove-Idempotent"] = "no"
        extra["Idempotency-Key"] = f"key-{number}"
    entry = entries[number % len(entries)]
    await asyncio.sleep(number * 0.01)
    prompt = f"burst {number}"
    return await callers.complete(
        running.session, entry.url, prompt, length, tier, extra
    )


async def wait_for_done(calls: list[asyncio.Task[callers.Reply]], count: int) -> None:
    """Wait until `count` calls are done."""

    async def enough() -> bool:
        return sum(call.done() for call in calls) >= count

    await deployment.until(enough)


async def describe(
    running: deployment.Deployment, replies: list[callers.Reply]
) -> list[str]:
    """Summarise the replies in lines that are the same on every run."""
    dispatched: collections.Counter[str] = collections.Counter()
    for engine in running.engines:
        dispatched.update((await running.counts(engine))["dispatches"])
    not_run = [reply for reply in replies if reply.outcome == "not_run"]
    run_anyway = [r for r in not_run if dispatched[r.request_id]]
    outcomes = {reply.outcome for reply in replies}
    allowed = {"completed", "not_run", "interrupted", "unknown"}
    return [
        f"every request has a final answer: {outcomes <= allowed}",
        f"some were not run: {len(not_run) > 0}",
        f"some were completed: {'completed' in outcomes}",
        f"told not run, but dispatched: {len(run_anyway)}",
        f"dispatched twice: {sum(n > 1 for n in dispatched.values())}",
    ]
