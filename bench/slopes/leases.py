"""What a pool's lease costs the platform: python -m bench.slopes.leases.

Time is counted here and not waited for; the table is the one in memory.
"""

from __future__ import annotations

import argparse
import asyncio
import time

from bench.slopes import size
from tealcove import ids
from tealcove.orders import lease
from tealcove.storage import memory

SECONDS = 600.0


async def measure(participants: int, duration: float) -> dict[str, float]:
    """Return the calls a second of all who hold or want one lease."""
    platform = memory.MemoryPlatform()
    found = [
        lease.Lease(platform.table, "pool", f"instance-{n}", duration)
        for n in range(participants)
    ]
    interval = found[0].interval
    steps, began = int(SECONDS / interval), time.process_time()
    for number in range(steps):
        for one in found:
            await one.step(ids.Instant(number * interval))
    spent = time.process_time() - began
    if not found[0].held(ids.Instant(steps * interval - interval)):
        raise RuntimeError("the first participant lost the lease")
    return {
        "writes a second": platform.write_count / SECONDS,
        "reads a second": platform.read_count / SECONDS,
        "us a step": spent / steps / participants * size.MICROSECONDS,
    }


def main() -> None:
    """Print the figures of each number of participants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--participants", type=int, nargs="+", default=[4, 8, 16])
    parser.add_argument("--duration", type=float, default=10.0)
    found = parser.parse_args()
    for participants in found.participants:
        result = asyncio.run(measure(participants, found.duration))
        figures = ", ".join(f"{name} {value:.2f}" for name, value in result.items())
        print(f"{participants} participants, lease of {found.duration:g} s: {figures}")


if __name__ == "__main__":
    main()
