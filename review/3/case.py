"""An engine leaves after another writer has left a row that can't be read."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVICE = "label-app"
DEADLINE_MS = 4000
DRAIN_SECONDS = 2.0
# Levels of a document that is nested too deep to be read; it has 16 kB.
LEVELS = 2000
PAUSE = 0.05
FIRST = 60
SECOND = 120


async def case() -> int:
    """Run the case; return its exit code."""
    record = harness.Record(FOLDER / "record.txt")
    engines = [harness.Engine(record, f"i-{n}", SERVICE, 6, 0.4) for n in range(3)]
    async with harness.deployed(record, engines, DEADLINE_MS) as deployment:
        if harness.has_trouble():
            row = b'{"by":' * LEVELS + b"0" + b"}" * LEVELS
            await deployment.store.put("servers", "i-unreadable", row)
            record.write("another writer's row of", len(row), "bytes is written")
        await send_all(deployment, "a", FIRST)
        leaving = max(engines, key=lambda engine: len(engine.runs))
        await deployment.store.put("servers", leaving.name, leaving.entry("draining"))
        end = record.now() + DRAIN_SECONDS
        record.write("the store has", leaving.name, "as draining")
        await send_all(deployment, "b", SECOND)
    late = [name for name, (began, _) in leaving.runs.items() if began > end]
    record.write(f"began at {leaving.name} after its drain time:", *(late or ["none"]))
    return harness.BROKEN if late else harness.HELD


async def send_all(deployment: harness.Deployment, prefix: str, count: int) -> None:
    """Send requests to the instances in turn, and wait for their answers."""
    sent = []
    for number in range(count):
        instance = deployment.instances[number % len(deployment.instances)]
        work = harness.send(
            deployment.record, instance, f"{prefix}{number}", DEADLINE_MS
        )
        sent.append(asyncio.create_task(work))
        await asyncio.sleep(PAUSE)
    await asyncio.gather(*sent)


if __name__ == "__main__":
    sys.exit(harness.run(case))
