"""Runs `bench.load` for combinations of policy, load, seed and scenario."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import pathlib
import sys
import tempfile
import time
from typing import Annotated

import cappa
import msgspec
import psutil

from bench import fleet, plans, runs

LOADS = "0.7,1.0,1.5,3.0"
SEEDS = "1,2,3"
SCENARIO_LOAD = 1.5
ALL = "all"
# If the p99 of the sending delay exceeds this many seconds, the result reflects
# other load on the machine: the run is discarded and repeated.
MAX_LAG = 0.03
ATTEMPTS = 5
# A run starts after a second in which at most this share of the machine was busy,
# or after this many seconds.
MAX_BUSY_SHARE = 0.5
MAX_IDLE_WAIT_SECONDS = 120


class LabelledResult(msgspec.Struct, frozen=True):
    """A result and the source revision that was measured."""

    label: str
    result: runs.Result


@dataclasses.dataclass
class Arguments:
    """Run a table of loads and add the results to a JSON file."""

    out: Annotated[str, cappa.Arg(long=True)]
    # The source revision that is measured, such as a commit.
    label: Annotated[str, cappa.Arg(long=True)]
    plans: Annotated[str, cappa.Arg(long=True)] = ALL
    policies: Annotated[str, cappa.Arg(long=True)] = ALL
    loads: Annotated[str, cappa.Arg(long=True)] = LOADS
    seeds: Annotated[str, cappa.Arg(long=True)] = SEEDS
    seconds: Annotated[float, cappa.Arg(long=True)] = 14.0
    # Run each scenario at 1.5 times the capacity, in place of all loads.
    scenarios: Annotated[bool, cappa.Arg(long=True)] = False
    # Run these scenarios, separated by commas, at all loads.
    only: Annotated[str, cappa.Arg(long=True)] = ""
    # Send requests of the highest tier only.
    alone: Annotated[bool, cappa.Arg(long=True)] = False
    # Overrides the plans' share of slots reserved for short requests.
    short_share: Annotated[float | None, cappa.Arg(long=True)] = None
    jobs: Annotated[int, cappa.Arg(long=True)] = 1


def parse_names(text: str, every: list[str]) -> list[str]:
    """Return the names in a comma-separated list, or all of them."""
    return every if text == ALL else text.split(",")


def planned_runs(arguments: Arguments) -> list[runs.Run]:
    """Return the runs that the arguments select."""
    table = itertools.product(
        [int(seed) for seed in arguments.seeds.split(",")],
        parse_names(arguments.plans, list(plans.PLANS)),
        loads_and_scenarios(arguments),
        parse_names(arguments.policies, list(fleet.POLICIES)),
    )
    return [
        runs.Run(
            plan=plan,
            policy=policy,
            load=multiple,
            seed=seed,
            seconds=arguments.seconds,
            scenario=scenario,
            alone=arguments.alone,
            short_share=arguments.short_share,
        )
        for seed, plan, (multiple, scenario), policy in table
    ]


def loads_and_scenarios(arguments: Arguments) -> list[tuple[float, runs.Scenario]]:
    """Return the pairs of load and scenario that the arguments select."""
    if arguments.scenarios:
        wrong = [s for s in runs.Scenario if s is not runs.Scenario.NONE]
        return [(SCENARIO_LOAD, scenario) for scenario in wrong]
    loads = [float(multiple) for multiple in arguments.loads.split(",")]
    names = arguments.only.split(",") if arguments.only else [runs.Scenario.NONE]
    scenarios = [runs.Scenario(name) for name in names]
    return list(itertools.product(loads, scenarios))


async def run_undisturbed(run: runs.Run, folder: str) -> runs.Result | None:
    """Repeat a run until it is undisturbed; return None when all attempts failed."""
    for _ in range(ATTEMPTS):
        await wait_until_idle()
        result = await run_once(run, folder)
        if result is not None and result.lag <= MAX_LAG:
            return result
        if result is not None:
            print(f"disturbed, lag {result.lag:.3f} s: {describe(result)}", flush=True)
    return None


async def wait_until_idle() -> None:
    """Wait for a second of low load, at most MAX_IDLE_WAIT_SECONDS."""
    for _ in range(MAX_IDLE_WAIT_SECONDS):
        busy = await asyncio.to_thread(psutil.cpu_percent, 1.0)
        if busy <= 100.0 * MAX_BUSY_SHARE:
            return


async def run_once(run: runs.Run, folder: str) -> runs.Result | None:
    """Execute a run in its own process; return None when it failed."""
    out = pathlib.Path(folder) / f"{time.monotonic_ns()}.json"
    arguments = [
        "-m",
        "bench.load",
        f"--plan={run.plan}",
        f"--policy={run.policy}",
        f"--load={run.load}",
        f"--seed={run.seed}",
        f"--seconds={run.seconds}",
        f"--scenario={run.scenario.value}",
        f"--out={out}",
    ]
    if run.short_share is not None:
        arguments.append(f"--short-share={run.short_share}")
    if run.alone:
        arguments.append("--alone")
    process = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stderr=asyncio.subprocess.PIPE
    )
    _, stderr = await process.communicate()
    if process.returncode != 0:
        print(stderr.decode(errors="replace")[-2000:], file=sys.stderr)
        return None
    return msgspec.json.decode(out.read_bytes(), type=runs.Result)


def describe(result: runs.Result) -> str:
    """Return a one-line summary of a result."""
    run = result.run
    shares = "/".join(f"{share.value:.2f}" for share in result.goodput.values())
    return (
        f"{run.plan} {run.policy} x{run.load} seed {run.seed} {run.scenario.value}"
        f"{' alone' if run.alone else ''}"
        f"{'' if run.short_share is None else f' short share {run.short_share}'}"
        f": goodput {shares}"
        f" work {result.work:.2f} of {result.bound:.2f}"
        f" wasted {result.prefill_wasted / max(1, result.prefill_tokens):.1%}"
        f" machine {result.machine:.0%} twice {result.second_dispatches}"
        f" unanswered {result.unanswered}"
    )


def add_result(path: pathlib.Path, label: str, result: runs.Result) -> None:
    """Add a result to the file, replacing an earlier one of the same run."""
    results: list[LabelledResult] = []
    if path.exists():
        results = msgspec.json.decode(path.read_bytes(), type=list[LabelledResult])
    results = [
        one for one in results if (one.label, one.result.run) != (label, result.run)
    ]
    results.append(LabelledResult(label, result))
    lines = [msgspec.json.encode(one) for one in results]
    path.write_bytes(b"[\n" + b",\n".join(lines) + b"\n]\n")


async def run_all(arguments: Arguments) -> int:
    """Execute all runs, a few concurrently; return the number that failed."""
    planned = planned_runs(arguments)
    path = pathlib.Path(arguments.out)
    job_slots = asyncio.Semaphore(arguments.jobs)
    failed = 0

    async def run_one(number: int, run: runs.Run, folder: str) -> None:
        nonlocal failed
        async with job_slots:
            result = await run_undisturbed(run, folder)
        if result is None:
            failed += 1
            print(f"{number + 1}/{len(planned)} failed: {run}", flush=True)
            return
        add_result(path, arguments.label, result)
        print(f"{number + 1}/{len(planned)} {describe(result)}", flush=True)

    with tempfile.TemporaryDirectory() as folder:
        await asyncio.gather(
            *(run_one(number, run, folder) for number, run in enumerate(planned))
        )
    return failed


def main() -> None:
    """Execute the selected runs; exit with code 1 when one failed."""
    sys.exit(1 if asyncio.run(run_all(cappa.parse(Arguments))) else 0)


if __name__ == "__main__":
    main()
