"""A higher tier is never shed while a lower tier is being served."""

from __future__ import annotations

import asyncio
import pathlib

import syrupy

from tests import callers, deployment

SLOTS = 4
# At 20 ms a token: low-tier requests of 5 s, and high-tier requests of 1 s with a
# deadline of 3.5 s, which can't wait until a low-tier request ends by itself.
LOW_LENGTH = 250
HIGH_LENGTH = 50
HIGH_DEADLINE = {"Tealcove-Deadline": "3.5"}
LOW_COUNT = 6

Calls = dict[str, asyncio.Task[callers.Reply]]


async def start(tmp_path: pathlib.Path) -> deployment.Deployment:
    """Start a deployment of one engine and three instances."""
    running = deployment.Deployment(tmp_path)
    await running.__aenter__()
    await running.add_engine(
        decode_seconds_per_token=0.02, batch_slowdown=0.0, slots=SLOTS
    )
    for _ in range(3):
        await running.add_instance()
    await running.declare(slots=SLOTS)
    for instance in running.instances:
        await running.wait_until_ready(instance)
    await running.wait_for_members()
    return running


def send(
    running: deployment.Deployment,
    entries: list[deployment.Process],
    tier: str,
    count: int,
    length: int,
    extra: dict[str, str] | None = None,
) -> Calls:
    """Start requests of a tier through all entries in turn."""
    calls = {}
    for number in range(count):
        prompt = f"{tier} {number}"
        entry = entries[number % len(entries)]
        headers = dict(extra or {})
        if "Tealcove-Idempotent" in headers:
            headers["Idempotency-Key"] = prompt
        call = callers.complete(
            running.session, entry.url, prompt, length, tier, headers
        )
        calls[prompt] = running.spawn(call)
    return calls


async def outcomes(calls: Calls, length: int) -> list[str]:
    """Return the sorted outcomes of requests, without their numbers."""
    lines = []
    for prompt, call in calls.items():
        line = callers.describe(await call, prompt, length)
        lines.append(line.replace(prompt, prompt.partition(" ")[0]))
    return sorted(lines)


class CompletionOrder:
    """Records the order in which requests of two tiers are completed."""

    def __init__(self, high: Calls, low: Calls) -> None:
        self.ended: list[str] = []
        for tier, calls in (("high", high), ("low", low)):
            for call in calls.values():
                call.add_done_callback(
                    lambda done, tier=tier: self.record(tier, done.result())
                )

    def record(self, tier: str, reply: callers.Reply) -> None:
        """Record a request that was completed."""
        if reply.outcome == "completed":
            self.ended.append(tier)

    def describe(self) -> str:
        """Tell whether the high tier was served first.

        An engine that receives more requests than it has slots serves the high tier's
        requests too, but after the low tier's.
        """
        first = self.ended[: self.ended.count("high")]
        return f"high tier served before low tier: {set(first) == {'high'}}"


async def test_preemption_across_entries(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against refused high-tier requests while low-tier requests run.

    Low-tier requests from three entries occupy all slots and the queue; then high-tier
    requests arrive that have no time to wait. Printers of the largest customer would
    wait for a batch, since engines have no priorities and each entry sees only its
    own requests.
    """
    running = await start(tmp_path)
    try:
        low = send(running, running.instances, "low", LOW_COUNT, LOW_LENGTH)
        await running.until_dispatched(running.engines[0], SLOTS)
        high = send(
            running, running.instances, "high", SLOTS, HIGH_LENGTH, HIGH_DEADLINE
        )
        order = CompletionOrder(high, low)
        session = await outcomes(high, HIGH_LENGTH) + await outcomes(low, LOW_LENGTH)
        assert [*session, order.describe()] == snapshot
    finally:
        await running.__aexit__()


async def test_preemption_after_a_takeover(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against a new dispatcher that sheds the wrong tier.

    Low-tier requests occupy all slots; the cell's dispatcher is killed; high-tier
    requests arrive at once through the remaining entries. They would be refused, since
    the queue and the running requests were in the dead instance's memory.
    """
    running = await start(tmp_path)
    try:
        dispatcher = await running.dispatcher("engines/0")
        remaining = [i for i in running.instances if i is not dispatcher]
        low = send(running, remaining, "low", LOW_COUNT, LOW_LENGTH)
        await running.until_dispatched(running.engines[0], SLOTS)
        dispatcher.kill()
        high = send(running, remaining, "high", SLOTS, HIGH_LENGTH, HIGH_DEADLINE)
        order = CompletionOrder(high, low)
        session = await outcomes(high, HIGH_LENGTH) + await outcomes(low, LOW_LENGTH)
        assert [*session, order.describe()] == snapshot
    finally:
        await running.__aexit__()


async def test_room_beside_work_that_cannot_be_stopped(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against low-tier requests that occupy every slot and can't be preempted.

    Non-idempotent low-tier requests fill the engine; then a high-tier request arrives
    that has no time to wait. It could neither wait nor preempt and would be shed if
    slots were granted without regard to what can be preempted.
    """
    running = await start(tmp_path)
    try:
        once = {"Tealcove-Idempotent": "no"}
        low = send(running, running.instances, "low", LOW_COUNT, LOW_LENGTH, once)
        await running.until_dispatched(running.engines[0], SLOTS - 1)
        high = send(running, running.instances, "high", 1, HIGH_LENGTH, HIGH_DEADLINE)
        order = CompletionOrder(high, low)
        session = await outcomes(high, HIGH_LENGTH) + await outcomes(low, LOW_LENGTH)
        assert [*session, order.describe()] == snapshot
    finally:
        await running.__aexit__()
