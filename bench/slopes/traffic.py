"""What requests and engines cost entry, dispatcher and steward, each by itself.

python -m bench.slopes.traffic --rates 50 100 200 --engines 4
python -m bench.slopes.traffic --rates 0 50 --engines 4 8 16
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import pathlib
import tempfile
import time

import aiohttp
import msgspec
from tests import deployment

from bench import cost
from bench.slopes import watch

# Enough for the highest rate: an engine answers in some hundredths of a second.
SLOTS = 16
TOKENS = 4
WARM_SECONDS = 2.0
# By these keys the ranking finds who has the roles.
CELL = "engines/0"
STEWARD = "steward/engines"
# Enough for each role to be on an instance of its own.
INSTANCES = 4


class Roles(msgspec.Struct, frozen=True):
    """Which instance has which role; callers use the entry alone."""

    entry: deployment.Process
    dispatcher: deployment.Process
    steward: deployment.Process


async def start(fleet: deployment.Deployment, engines: int) -> Roles:
    """Start engines and instances; the ranking says who has the roles."""
    for _ in range(engines):
        await fleet.add_engine(slots=SLOTS, batch_slowdown=0.0, **cost.FAST_ENGINE)
    await fleet.declare(slots=SLOTS)
    for _ in range(INSTANCES):
        await fleet.add_instance()
    for instance in fleet.instances:
        await fleet.wait_until_ready(instance)
    await fleet.wait_for_members()
    for engine in fleet.engines:
        await fleet.wait_for_port(engine)
    dispatcher = await fleet.dispatcher(CELL)
    steward = await fleet.dispatcher(STEWARD)
    if steward is dispatcher:
        raise RuntimeError("two roles on one instance; change INSTANCES")
    entry = next(i for i in fleet.instances if i not in (dispatcher, steward))
    await fleet.until_served(entry)
    return Roles(entry, dispatcher, steward)


async def send(roles: Roles, rate: float, seconds: float) -> int:
    """Send requests to the entry at a steady rate; return their number."""
    request = cost.request_sender(TOKENS, False)
    began = time.monotonic()
    tasks = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        while time.monotonic() - began < seconds:
            tasks.append(asyncio.create_task(request(http, roles.entry.url)))
            due = began + len(tasks) / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*tasks)
    return len(tasks)


async def measure(roles: Roles, rate: float, seconds: float) -> dict[str, watch.Use]:
    """Return what the holder of each role uses at a rate; 0 is idle."""
    pids = {
        role: process.process.pid
        for role, process in msgspec.structs.asdict(roles).items()
    }
    before = {role: await watch.sample(pid) for role, pid in pids.items()}
    if rate:
        await send(roles, rate, seconds)
    else:
        await asyncio.sleep(seconds)
    after = {role: await watch.sample(pid) for role, pid in pids.items()}
    return {role: watch.use_between(before[role], after[role]) for role in pids}


async def run(found: argparse.Namespace) -> None:
    """Print what each role uses, for each number of engines and each rate."""
    for engines in found.engines:
        with tempfile.TemporaryDirectory() as name:
            async with deployment.Deployment(pathlib.Path(name)) as fleet:
                roles = await start(fleet, engines)
                await send(roles, max(20.0, found.rates[-1]), WARM_SECONDS)
                for rate, _ in itertools.product(found.rates, range(found.runs)):
                    measured = await measure(roles, rate, found.seconds)
                    print(f"{engines} engines, {rate:g} requests/s")
                    for role, used in measured.items():
                        print(f"  {role}: {watch.format_use(used)}", flush=True)


def main() -> None:
    """Run as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[0, 50, 100, 200])
    parser.add_argument("--engines", type=int, nargs="+", default=[4])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--runs", type=int, default=3)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
