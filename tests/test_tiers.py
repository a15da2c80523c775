"""A higher tier is never shed while a lower tier's work is being served."""

from __future__ import annotations

import asyncio
import pathlib

import syrupy

from tests import callers, deployment

SLOTS = 4
# At 20 ms a token: low-tier work of 5 s, high-tier work of 1 s that has to end
# in 3.5 s, so that it can't wait for any of the low tier's to end by itself.
LOW_LENGTH = 250
HIGH_LENGTH = 50
HIGH_DEADLINE = {"Tealcove-Deadline": "3.5"}
LOW_COUNT = 6

Calls = dict[str, asyncio.Task[callers.Reply]]


async def start(tmp_path: pathlib.Path) -> deployment.Deployment:
    """Return a deployment of one engine and three instances."""
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
    """Send requests of a tier through all entries in turn."""
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
    """Return what became of requests, without telling which of them it was."""
    lines = []
    for prompt, call in calls.items():
        line = callers.describe(await call, prompt, length)
        lines.append(line.replace(prompt, prompt.partition(" ")[0]))
    return sorted(lines)


class CompletionOrder:
    """Notes the order in which requests of two tiers end."""

    def __init__(self, high: Calls, low: Calls) -> None:
        self.ended: list[str] = []
        for tier, calls in (("high", high), ("low", low)):
            for call in calls.values():
                call.add_done_callback(
                    lambda done, tier=tier: self.record(tier, done.result())
                )

    def record(self, tier: str, reply: callers.Reply) -> None:
        """Note that a request was completed."""
        if reply.outcome == "completed":
            self.ended.append(tier)

    def describe(self) -> str:
        """Tell whether the high tier was served first.

        An engine that is given more than it can start at once serves the high
        tier's requests too, but behind the low tier's.
        """
        first = self.ended[: self.ended.count("high")]
        return f"high tier served before low tier: {set(first) == {'high'}}"


async def test_preemption_across_entries(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """High-tier requests are refused while low-tier work runs on.

    Symptom: printers of the largest customer wait while a batch goes on.
    Sequence: low-tier work from three entries holds all slots and waits; then
    high-tier requests come that have no time to wait.
    Cause: engines know no priorities, and each entry sees only its own work.
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
    """A new dispatcher doesn't know what runs, and sheds the wrong tier.

    Symptom: after an instance dies, high-tier requests are refused.
    Sequence: low-tier work holds all slots; the cell's dispatcher is killed;
    high-tier requests come at once through the entries that are left.
    Cause: the queue and the running work were in the dead instance's memory.
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
    """Low-tier work that may not be stopped takes every slot.

    Symptom: a high-tier request can neither wait nor preempt, and is shed.
    Sequence: non-idempotent low-tier requests fill the engine; then a high-tier
    request comes that has no time to wait.
    Cause: slots are given to whatever waits, without a thought of what can be
    taken back.
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
