"""`python -m bench.replay`: print and plot the worth earned at several loads."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Annotated

import cappa
import matplotlib

from bench.replay import mix, simulation, tally

matplotlib.use("Agg")

from matplotlib import pyplot

LOADS = "1,1.5,2.2"
SEEDS = "1,2,3"


@dataclasses.dataclass
class Arguments:
    """Play mixes against the dispatcher's decisions, in virtual time."""

    mixes: Annotated[str, cappa.Arg(long=True)] = ",".join(mix.MIXES)
    loads: Annotated[str, cappa.Arg(long=True)] = LOADS
    seeds: Annotated[str, cappa.Arg(long=True)] = SEEDS
    seconds: Annotated[float, cappa.Arg(long=True)] = 30.0
    # File to which a plot of the worth by load is written.
    plot: Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None


def run(arguments: Arguments) -> None:
    """Simulate, print a line for each run and kind, and plot."""
    shares: dict[str, list[tuple[float, float]]] = {}
    for name in arguments.mixes.split(","):
        found = mix.MIXES[name]
        for load in map(float, arguments.loads.split(",")):
            worth = [
                play_one(found, load, arguments.seconds, int(seed))
                for seed in arguments.seeds.split(",")
            ]
            mean = sum(worth) / len(worth)
            print(f"{name} at {load:g}: mean worth {mean:.3f}")
            shares.setdefault(name, []).append((load, mean))
    if arguments.plot is not None:
        plot(shares, arguments.plot)


def play_one(found: mix.Mix, load: float, seconds: float, seed: int) -> float:
    """Simulate and print one run; return the part of the worth that was earned."""
    requests = mix.draw(found, load, seconds, seed)
    outcome = simulation.Simulation(found, requests).run()
    sums = tally.sums(outcome)
    title = f"{found.name} {load:g} seed {seed}"
    for name, one in {"all": sums.whole, **sums.kinds, **sums.sizes}.items():
        ends = ", ".join(f"{one.ends[end]} {end.value}" for end in simulation.End)
        held, again = (
            one.wasted_wait_worth / one.total_worth,
            one.refused_again_worth / one.total_worth,
        )
        print(f"  {title} {name:16} {ends}, worth {one.share():.3f}", end="")
        print(f", {held:.3f} waited in vain, {again:.3f} refused again")
    read = sum(batch.read_tokens for batch in outcome.batches)
    wasted = sum(batch.wasted_tokens for batch in outcome.batches)
    busy = sum(batch.busy_seconds for batch in outcome.batches)
    part = busy / (outcome.seconds * len(outcome.batches))
    print(
        f"    engines busy {part:.2f}, {wasted / max(1, read):.3f} of prompts in vain,"
        f" mark {sums.score():.3f}, bound {tally.bound(found, requests, seconds):.3f}"
    )
    return sums.whole.share()


def plot(shares: dict[str, list[tuple[float, float]]], path: pathlib.Path) -> None:
    """Plot the worth by load, with one line for each mix."""
    figure, axes = pyplot.subplots()
    for name, points in shares.items():
        axes.plot(*zip(*points, strict=True), marker="o", label=name)
    axes.set_xlabel("load")
    axes.set_ylabel("worth earned of worth owed")
    axes.legend()
    figure.savefig(path)


if __name__ == "__main__":
    run(cappa.parse(Arguments))
