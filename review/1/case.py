"""Requests that wait for a slot when their instance is told to stop."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVICE = "label-app"
DEADLINE_MS = 10_000
# Two engines with two slots each, all of which are taken from the first request on.
SLOTS = 2
RUN_SECONDS = 3.0
# Requests sent before and after the SIGTERM, and when the latter are sent.
FIRST = 8
SECOND = 8
SECOND_AFTER = 2.3
# Excuses of the rule: a request that was sent so long after the SIGTERM at the latest,
# and at which an engine is still at work in this part of the grace period.
EXCUSED_SENT_SECONDS = 3.0
EXCUSED_PART = 5 / 6


async def case() -> int:
    """Run the case; return its exit code."""
    record = harness.Record(FOLDER / "record.txt")
    engines = [
        harness.Engine(record, f"i-{n}", SERVICE, SLOTS, RUN_SECONDS) for n in range(2)
    ]
    async with harness.deployed(record, engines, DEADLINE_MS) as deployment:
        lost = await play(record, deployment)
    record.write("lost, beside those that the rule excuses:", *(lost or ["none"]))
    return harness.BROKEN if lost else harness.HELD


async def play(record: harness.Record, deployment: harness.Deployment) -> list[str]:
    """Send requests and stop their instance; return the lost requests."""
    leaving = deployment.instances[0]
    sent = [
        asyncio.create_task(harness.send(record, leaving, f"a{n}", DEADLINE_MS))
        for n in range(FIRST)
    ]
    await asyncio.sleep(0.5)
    stopped = record.now()
    if harness.has_trouble():
        deployment.stop_gently(leaving)
    await asyncio.sleep(SECOND_AFTER)
    sent += [
        asyncio.create_task(harness.send(record, leaving, f"b{n}", DEADLINE_MS))
        for n in range(SECOND)
    ]
    found = await asyncio.gather(*sent)
    return [one.request_id for one in found if is_lost(deployment, one, stopped)]


def is_lost(deployment: harness.Deployment, one: harness.Sent, stopped: float) -> bool:
    """Return whether a request was lost by the rule."""
    if one.result != harness.CLOSED:
        return False
    run = deployment.run_of(one.request_id)
    if run is None:
        return one.ended - one.began > harness.LOSS_SLACK_SECONDS
    is_sent_in_time = one.began <= stopped + EXCUSED_SENT_SECONDS
    is_at_work = run[1] >= stopped + EXCUSED_PART * harness.GRACE_SECONDS
    return not (is_sent_in_time and is_at_work)


if __name__ == "__main__":
    sys.exit(harness.run(case))
