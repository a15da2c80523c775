"""What requests and engines cost an entry and a dispatcher, each by itself.

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
# The cell of the first engines; its name is the pool's and a number.
CELL = "engines/0"


class Roles(msgspec.Struct, frozen=True):
    """The two instances of a run: the one that callers use, and the other."""

    entry: deployment.Process
    dispatcher: deployment.Process


class Found(msgspec.Struct, frozen=True):
    """What both used at a rate of requests."""

    requests: int
    entry: watch.Use
    dispatcher: watch.Use


async def start(fleet: deployment.Deployment, engines: int) -> Roles:
    """Start engines and two instances; the ranking says which one dispatches."""
    for _ in range(engines):
        await fleet.add_engine(slots=SLOTS, batch_slowdown=0.0, **cost.FAST_ENGINE)
    await fleet.declare(slots=SLOTS)
    for _ in range(2):
        await fleet.add_instance()
    for instance in fleet.instances:
        await fleet.wait_until_ready(instance)
    await fleet.wait_for_members()
    for engine in fleet.engines:
        await fleet.wait_for_port(engine)
    dispatcher = await fleet.dispatcher(CELL)
    entry = next(i for i in fleet.instances if i is not dispatcher)
    await fleet.until_served(entry)
    return Roles(entry, dispatcher)


async def send(roles: Roles, rate: float, seconds: float) -> int:
    """Send requests to the entry at a steady rate; return their number."""
    request = cost.sender(TOKENS, False)
    began = time.monotonic()
    tasks = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        while time.monotonic() - began < seconds:
            tasks.append(asyncio.create_task(request(http, roles.entry.url)))
            due = began + len(tasks) / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*tasks)
    return len(tasks)


async def measure(roles: Roles, rate: float, seconds: float) -> Found:
    """Return what both instances use at a rate; 0 is idle."""
    pids = (roles.entry.process.pid, roles.dispatcher.process.pid)
    before = [await watch.sample(pid) for pid in pids]
    if rate:
        requests = await send(roles, rate, seconds)
    else:
        requests = await asyncio.sleep(seconds, 0)
    after = [await watch.sample(pid) for pid in pids]
    uses = [watch.between(*pair) for pair in zip(before, after, strict=True)]
    return Found(requests, *uses)


async def run(found: argparse.Namespace) -> None:
    """Print what both use, for each number of engines and each rate."""
    for engines in found.engines:
        with tempfile.TemporaryDirectory() as name:
            async with deployment.Deployment(pathlib.Path(name)) as fleet:
                roles = await start(fleet, engines)
                await send(roles, max(20.0, found.rates[-1]), WARM_SECONDS)
                for rate, _ in itertools.product(found.rates, range(found.runs)):
                    measured = await measure(roles, rate, found.seconds)
                    print(f"{engines} engines, {rate:g} requests/s")
                    print(f"  entry: {watch.text(measured.entry)}")
                    print(
                        f"  dispatcher: {watch.text(measured.dispatcher)}", flush=True
                    )


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
