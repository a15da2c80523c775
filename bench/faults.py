"""Injects the faults of the scenarios into a running deployment."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
import time

import aiohttp

from bench import arrivals, fleet, plans, runs

# Seconds into the run at which a scenario's fault starts, and its duration.
FAULT_START = 4.0
FAULT_SECONDS = 3.0
STRAGGLER_SPEED = 0.2
# Seconds between two requests with the bad block, and from a crash to the restart.
BAD_INTERVAL = 0.3
RESTART_SECONDS = 1.0
RESTART_POLL_SECONDS = 0.1
# Period of the flooding account's demand, as in the cases of docs/design/hard-load.md.
FLOOD_SECONDS = 8.0
# Share of the engines that are slowed down at a time, their speed, and the seconds
# until the next ones are.
SLOWED_SHARE = 0.15
SLOWED_SPEED = 1 / 2.5
SLOWED_SECONDS = 0.6
# Scenarios that consist of their requests only.
WITHOUT_FAULT = (
    runs.Scenario.NONE,
    runs.Scenario.BURST,
    runs.Scenario.COMPETING_ACCOUNTS,
)


def sent_requests(run: runs.Run, plan: plans.Plan) -> list[arrivals.Request]:
    """Return the requests of a run in order of time, with those of its scenario."""
    burst = None
    if run.scenario is runs.Scenario.BURST:
        burst = arrivals.Period(FAULT_START, FAULT_START + FAULT_SECONDS)
    tiers = plan.tiers[:1] if run.alone else plan.tiers
    requests = arrivals.generate(plan, run.load, run.seconds, run.seed, tiers, burst)
    requests += arrivals.generate_calls(plan, run.seconds, run.seed)
    if run.scenario is runs.Scenario.COMPETING_ACCOUNTS:
        requests += arrivals.generate_flood(plan, run.load, run.seed, flood(run))
    return sorted(requests, key=lambda request: request.at)


def flood(run: runs.Run) -> arrivals.Period:
    """Return the period of the flooding account's demand."""
    return arrivals.Period(FAULT_START, min(run.seconds, FAULT_START + FLOOD_SECONDS))


async def inject(deployed: fleet.Fleet, run: runs.Run, start: float) -> None:
    """Inject the scenario's fault into a run that starts at `start`."""
    scenario = run.scenario
    if scenario in WITHOUT_FAULT:
        return
    await asyncio.sleep(start + FAULT_START - time.monotonic())
    print(f"  {scenario.value}", file=sys.stderr)
    end = start + run.seconds
    if scenario is runs.Scenario.STRAGGLER:
        await deployed.set_faults(
            deployed.engines[0], {"speed_factor": STRAGGLER_SPEED}
        )
    if scenario is runs.Scenario.ENGINE_CRASH:
        await crash_engine(deployed)
    if scenario is runs.Scenario.PLATFORM_OUTAGE:
        await deployed.set_faults(deployed.platform, {"down": True})
        await asyncio.sleep(FAULT_SECONDS)
        await deployed.set_faults(deployed.platform, {})
    if scenario is runs.Scenario.ENTRY_KILLED:
        victims = deployed.instances
        victims[run.seed % len(victims)].kill()
    if scenario is runs.Scenario.CRASHING_PART:
        await asyncio.gather(
            send_bad_prompts(deployed, end), restart_engines(deployed, end)
        )
    if scenario is runs.Scenario.UNEVEN_SERVERS:
        await slow_engines_in_turn(deployed, end)


async def send_bad_prompts(deployed: fleet.Fleet, end: float) -> None:
    """Send requests with the bad block until an end, to all instances."""
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if time.monotonic() >= end:
                return
            group.create_task(deployed.send_bad_prompt(number))
            await asyncio.sleep(BAD_INTERVAL)


async def restart_engines(deployed: fleet.Fleet, end: float) -> None:
    """Restart the engines that have crashed until an end."""
    while time.monotonic() < end:
        for engine in deployed.engines:
            if engine.process.returncode is not None:
                await asyncio.sleep(RESTART_SECONDS)
                await deployed.start(engine)
        await asyncio.sleep(RESTART_POLL_SECONDS)


async def crash_engine(deployed: fleet.Fleet) -> None:
    """Crash the first engine, one of the fastest, and restart it later."""
    # It crashes without an answer.
    with contextlib.suppress(aiohttp.ClientError):
        await deployed.crash_engine(0)
    await deployed.engines[0].process.wait()
    await asyncio.sleep(FAULT_SECONDS)
    await deployed.start(deployed.engines[0])


async def slow_engines_in_turn(deployed: fleet.Fleet, end: float) -> None:
    """Slow down one group of engines after the other until an end."""
    begin = time.monotonic()
    for turn in itertools.count(1):
        slowed = [
            deployed.engines[number]
            for number in slowed_numbers(turn - 1, len(deployed.engines))
        ]
        for engine in slowed:
            await deployed.set_faults(engine, {"speed_factor": SLOWED_SPEED})
        await asyncio.sleep(begin + turn * SLOWED_SECONDS - time.monotonic())
        for engine in slowed:
            await deployed.set_faults(engine, {})
        if time.monotonic() >= end:
            return


def slowed_numbers(turn: int, engines: int) -> list[int]:
    """Return the numbers of the engines that are slow in a turn, at least one."""
    count = max(1, round(SLOWED_SHARE * engines))
    return [(turn * count + number) % engines for number in range(count)]
