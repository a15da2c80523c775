"""A long outage of the platform with further failures."""

from __future__ import annotations

import asyncio
import collections
import pathlib

import syrupy

from tests import callers, deployment

LENGTH = 5
ONCE = {"Tealcove-Idempotent": "no"}


async def send_all(
    running: deployment.Deployment,
    entries: list[deployment.Process],
    name: str,
    extra: dict[str, str] | None = None,
    tier: str = "high",
) -> list[str]:
    """Send ten requests through some entries; return their sorted outcomes."""
    prompts = [f"{name}, {number}" for number in range(10)]
    calls = []
    for number, prompt in enumerate(prompts):
        headers = dict(extra or {})
        headers["Idempotency-Key"] = prompt
        entry = entries[number % len(entries)]
        calls.append(
            callers.complete(running.session, entry.url, prompt, LENGTH, tier, headers)
        )
    replies = await asyncio.gather(*calls)
    lines = [
        callers.describe(reply, prompt, LENGTH).replace(prompt, name)
        for prompt, reply in zip(prompts, replies, strict=True)
    ]
    counted = sorted(collections.Counter(lines).items())
    return [f"{count} x {line}" for line, count in counted]


async def test_routing_goes_on_without_the_platform(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against requests that fail because of a store that they don't need.

    The platform goes down; then the cell's dispatcher is killed and an engine
    becomes a straggler; the platform is available again. Labels couldn't be printed
    during the whole outage if the handling of a request read or wrote the table.
    """
    session = []
    async with deployment.Deployment(tmp_path) as running:
        for _ in range(3):
            await running.add_engine(decode_seconds_per_token=0.005)
        for _ in range(4):
            await running.add_instance()
        await running.declare()
        for instance in running.instances:
            await running.wait_until_ready(instance)
        await running.wait_for_members()
        entries = list(running.instances)
        await running.set_faults(running.platform, {"down": True})
        session += await send_all(running, entries, "platform down")
        session += await send_all(running, entries, "to be run once", ONCE)
        dispatcher = await running.dispatcher("engines/0")
        dispatcher.kill()
        entries.remove(dispatcher)
        session += await send_all(running, entries, "and a dispatcher killed")
        await running.set_faults(running.engines[0], {"speed_factor": 0.1})
        session += await send_all(running, entries, "and a straggler")
        await running.set_faults(running.platform, {})
        session += await send_until_run(running, entries)
        dispatched: collections.Counter[str] = collections.Counter()
        for engine in running.engines:
            dispatched.update((await running.counts(engine))["dispatches"])
        session.append(f"dispatches per request: {sorted(set(dispatched.values()))}")
    assert session == snapshot


async def send_until_run(
    running: deployment.Deployment, entries: list[deployment.Process]
) -> list[str]:
    """Wait until a non-idempotent request is completed, then send ten more."""

    async def is_run() -> bool:
        headers = {**ONCE, "Idempotency-Key": "first after the outage"}
        reply = await callers.complete(
            running.session, entries[0].url, "first", LENGTH, "high", headers
        )
        return reply.outcome == "completed"

    await deployment.until(is_run)
    return await send_all(running, entries, "platform back, to be run once", ONCE)
