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

from bench import callers, fleet, load, plans
from bench.slopes import size

# Entries that are killed, the seconds between two, and those until one is back.
DEATHS = 3
DEATH_INTERVAL = 4.0
BACK_AFTER = 2.0
TIMEOUTS = {"without": 0.0, "with": 0.05}
SENT = "tealcove_mesh_sent_total"
# A run whose tool was later than this measures the machine's other work.
MOST_LAG = 0.03


class Stage(load.Stage):
    """A load during which one entry after the other is killed, or none."""

    def __init__(
        self, run: load.Run, folder: pathlib.Path, timeout: float, deaths: int
    ) -> None:
        super().__init__(run, folder)
        self.fleet.more = {
            "dispatch": {
                "policy": fleet.POLICIES[run.policy],
                "witness_timeout": timeout,
            }
        }
        self.deaths = deaths
        self.found: dict[str, float] = {}

    async def strike(self, start: float) -> None:
        """Kill entries, and start each again later."""
        for number in range(self.deaths):
            at = start + load.STRIKE + number * DEATH_INTERVAL
            await asyncio.sleep(at - time.monotonic())
            victim = self.fleet.instances[number]
            victim.kill()
            await victim.process.wait()
            await asyncio.sleep(BACK_AFTER)
            await self.fleet.start(victim)
        if not self.deaths:
            await asyncio.sleep(start + self.run.seconds - time.monotonic())
            self.found["messages"] = await self.messages() / len(self.requests)

    async def messages(self) -> int:
        """Return the messages that all instances have sent to each other."""
        total = 0.0
        for instance in self.fleet.instances:
            url = f"{instance.url}/metrics"
            async with self.fleet.session.get(url) as response:
                for line in (await response.text()).splitlines():
                    if line.startswith(SENT):
                        total += float(line.rpartition(" ")[2])
        return total

    def judge(
        self, counts: list[fleet.engine.Counts], calls: list[dict[str, int]]
    ) -> load.Result:
        """Note what is about requests to engines only."""
        again = [sent for sent in self.sent if sent.sends > 1]
        result = super().judge(counts, calls)
        completed = [s.seconds for s in again if s.end is callers.End.COMPLETED]
        self.found |= {
            "requests": len(self.sent),
            "sent again": len(again),
            "second dispatches": load.repeats([c.prompts for c in counts]),
            "of those sent again, % in time": percent(again),
            "of all, % in time": percent(self.sent),
            "% of prefill wasted": 100 * result.prefill_wasted / result.prefill_tokens,
            "prefill tokens": result.prefill_tokens,
            "mean s of those sent again": mean(completed),
            "short p50 s": result.latency["short"][0],
            "long p50 s": result.latency["long"][0],
            "instances' cores": result.cores["instance"],
            "wrong": result.wrong,
            "unanswered": unanswered(self.sent),
            "calls unanswered": unanswered(self.called),
            "lag s": result.lag,
            "machine": result.machine,
        }
        return result


def unanswered(sent: list[callers.Sent]) -> int:
    """Return how many got no final answer, and say which."""
    found = [s for s in sent if s.end in (callers.End.LEFT, callers.End.CUT)]
    for one in found:
        print(f"  {one}", file=sys.stderr)
    return len(found)


def percent(sent: list[callers.Sent]) -> float:
    """Return the part that was completed whole and in time."""
    return 100 * mean([float(one.is_good) for one in sent])


def mean(found: list[float]) -> float:
    """Return the mean; 0 of nothing."""
    return sum(found) / max(1, len(found))


async def measure(
    found: argparse.Namespace, seed: int, timeout: float
) -> dict[str, float]:
    """Return the figures of one run."""
    run = load.Run(
        plan=found.plan,
        policy="tealcove",
        load=found.load,
        seed=seed,
        seconds=found.seconds,
    )
    with tempfile.TemporaryDirectory() as name:
        stage = Stage(run, pathlib.Path(name), timeout, found.deaths)
        result = await stage.play()
    print(result.complaints[:3], file=sys.stderr)
    return stage.found


async def run(found: argparse.Namespace) -> None:
    """Run each way with the same seeds, in turn, and print the figures."""
    results: dict[str, list[dict[str, float]]] = {name: [] for name in TIMEOUTS}
    for seed in range(1, found.runs + 1):
        for name, timeout in TIMEOUTS.items():
            one = await measure(found, seed, timeout)
            results[name].append(one)
            print(name, seed, msgspec.json.encode(one).decode(), file=sys.stderr)
    for figure in results["with"][0]:
        for name, runs in results.items():
            result = size.summarise([one[figure] for one in runs])
            print(f"{figure}, {name}: {size.format_result(result, 3)}", flush=True)


def main() -> None:
    """Run as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", default=plans.MAKINDU.name, choices=plans.PLANS)
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--deaths", type=int, default=DEATHS)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
