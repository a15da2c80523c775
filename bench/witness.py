"""What witnesses save when entries die, and cost when none does.

python -m bench.witness --plan makindu --load 0.7
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time

import msgspec

from bench import callers, evaluation, faults, fleet, load, plans, runs
from bench.slopes import size

# Number of killed entries, seconds between two kills and until the restart.
KILLS = 3
KILL_INTERVAL = 4.0
RESTART_DELAY = 2.0
WITNESS_TIMEOUTS = {"without": 0.0, "with": 0.05}
SENT_METRIC = "tealcove_mesh_sent_total"
# With a sending delay above this many seconds, a run measures other load on
# the machine.
MAX_LAG = 0.03


class WitnessRun(load.LoadRun):
    """A load run during which entries are killed one after the other, or none."""

    def __init__(
        self, run: runs.Run, folder: pathlib.Path, timeout: float, deaths: int
    ) -> None:
        super().__init__(run, folder)
        self.fleet.instance_settings = {
            "dispatch": {
                "policy": fleet.POLICIES[run.policy],
                "witness_timeout": timeout,
            }
        }
        self.deaths = deaths
        self.figures: dict[str, float] = {}

    async def inject_faults(self, start: float) -> None:
        """Kill entries and restart each later; count messages if none is killed."""
        for number in range(self.deaths):
            at = start + faults.FAULT_START + number * KILL_INTERVAL
            await asyncio.sleep(at - time.monotonic())
            victim = self.fleet.instances[number]
            victim.kill()
            await victim.process.wait()
            await asyncio.sleep(RESTART_DELAY)
            await self.fleet.start(victim)
        if not self.deaths:
            await asyncio.sleep(start + self.run.seconds - time.monotonic())
            self.figures["messages"] = await self.count_messages() / len(self.requests)

    async def count_messages(self) -> int:
        """Return the number of messages that the instances have sent to each other."""
        total = 0.0
        for instance in self.fleet.instances:
            url = f"{instance.url}/metrics"
            async with self.fleet.session.get(url) as response:
                for line in (await response.text()).splitlines():
                    if line.startswith(SENT_METRIC):
                        total += float(line.rpartition(" ")[2])
        return total

    def evaluate(
        self, counts: list[fleet.engine.Counts], calls: list[dict[str, int]]
    ) -> runs.Result:
        """Record the figures, most of them of engine requests only."""
        again = [sent for sent in self.sent if sent.attempts > 1]
        result = super().evaluate(counts, calls)
        completed = [s.seconds for s in again if s.outcome is callers.Outcome.COMPLETED]
        self.figures |= {
            "requests": len(self.sent),
            "sent again": len(again),
            "second dispatches": evaluation.count_repeats([c.prompts for c in counts]),
            "of those sent again, % in time": good_percent(again),
            "of all, % in time": good_percent(self.sent),
            "% of prefill wasted": 100 * result.prefill_wasted / result.prefill_tokens,
            "prefill tokens": result.prefill_tokens,
            "mean s of those sent again": mean(completed),
            "short p50 s": result.latency["short"][0],
            "long p50 s": result.latency["long"][0],
            "instances' cores": result.cores["instance"],
            "wrong": result.wrong,
            "unanswered": count_unanswered(self.sent),
            "calls unanswered": count_unanswered(self.sent_calls),
            "lag s": result.lag,
            "machine": result.machine,
        }
        return result


def count_unanswered(sent: list[callers.SentRequest]) -> int:
    """Return the number of requests without a final answer, and print them."""
    without_answer = [
        s
        for s in sent
        if s.outcome in (callers.Outcome.TIMED_OUT, callers.Outcome.DISCONNECTED)
    ]
    for one in without_answer:
        print(f"  {one}", file=sys.stderr)
    return len(without_answer)


def good_percent(sent: list[callers.SentRequest]) -> float:
    """Return the percentage of requests answered whole by their deadline."""
    return 100 * mean([float(one.is_good) for one in sent])


def mean(values: list[float]) -> float:
    """Return the mean, or 0 without values."""
    return sum(values) / max(1, len(values))


async def measure(
    arguments: argparse.Namespace, seed: int, timeout: float
) -> dict[str, float]:
    """Return the figures of one run."""
    run = runs.Run(
        plan=arguments.plan,
        policy="tealcove",
        load=arguments.load,
        seed=seed,
        seconds=arguments.seconds,
    )
    with tempfile.TemporaryDirectory() as name:
        witness_run = WitnessRun(run, pathlib.Path(name), timeout, arguments.deaths)
        result = await witness_run.execute()
    print(result.complaints[:3], file=sys.stderr)
    return witness_run.figures


async def run(arguments: argparse.Namespace) -> None:
    """Run with and without witnesses on the same seeds and print the figures."""
    results: dict[str, list[dict[str, float]]] = {name: [] for name in WITNESS_TIMEOUTS}
    for seed in range(1, arguments.runs + 1):
        for name, timeout in WITNESS_TIMEOUTS.items():
            one = await measure(arguments, seed, timeout)
            results[name].append(one)
            print(name, seed, msgspec.json.encode(one).decode(), file=sys.stderr)
    for figure in results["with"][0]:
        for name, own in results.items():
            result = size.summarise([one[figure] for one in own])
            print(f"{figure}, {name}: {size.format_result(result, 3)}", flush=True)


def main() -> None:
    """Parse the arguments and run the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", default=plans.MAKINDU.name, choices=plans.PLANS)
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--deaths", type=int, default=KILLS)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
