"""Writes tables and a plot of the results of `bench.policy` and `bench.cost`."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Callable
from typing import Annotated

import cappa
import msgspec
from matplotlib import axes, figure

from bench import accounts, cost, fleet, page, plans, policy, runs, score

PAGE = "docs/MEASUREMENTS.md"
OWN_POLICY = "tealcove"

Results = list[runs.Result]


def read_results(path: str, label: str) -> Results:
    """Return the results of one revision."""
    labelled = msgspec.json.decode(
        pathlib.Path(path).read_bytes(), type=list[policy.LabelledResult]
    )
    return [one.result for one in labelled if one.label == label]


def select(results: Results, **criteria: object) -> Results:
    """Return the results whose run has the given field values."""
    return [
        result
        for result in results
        if all(getattr(result.run, name) == value for name, value in criteria.items())
    ]


def wasted_share(result: runs.Result) -> float:
    """Return the share of computed prefill tokens that was wasted."""
    return result.prefill_wasted / max(1, result.prefill_tokens)


def share_of_bound(result: runs.Result) -> float:
    """Return the good work as a fraction of its bound."""
    return result.work / result.bound if result.bound else 1.0


def tier_goodput(results: Results, tier: str) -> str:
    """Return the mean and range of one tier's goodput."""
    return score.spread(r.goodput[tier].value for r in results if tier in r.goodput)


def run_cells(results: Results, plan: plans.Plan) -> list[str]:
    """Return the cells of the columns that all tables of runs share."""
    return [
        *(tier_goodput(results, tier) for tier in plan.tiers),
        score.spread(share_of_bound(result) for result in results),
        score.spread(wasted_share(result) for result in results),
        str(sum(result.second_dispatches for result in results)),
        str(sum(result.unanswered for result in results)),
        str(len(results)),
    ]


def run_columns(plan: plans.Plan) -> list[str]:
    """Return the names of the columns that all tables of runs share."""
    return [
        *(f"goodput {tier}" for tier in plan.tiers),
        "work of bound",
        "wasted prefill",
        "second dispatches",
        "unanswered",
        "runs",
    ]


def load_table(results: Results, scenario: runs.Scenario = runs.Scenario.NONE) -> str:
    """Return a table of the policies at each load."""
    text = ""
    for plan in plans.PLANS.values():
        of_plan = select(results, plan=plan.name, scenario=scenario, alone=False)
        if not of_plan:
            continue
        text += f"\n{plan.name}\n\n" + page.header(
            ["load", "policy", *run_columns(plan)]
        )
        for multiple in sorted({r.run.load for r in of_plan}):
            for name in fleet.POLICIES:
                selected = select(of_plan, load=multiple, policy=name)
                if selected:
                    text += page.row(
                        [f"{multiple:g}", name, *run_cells(selected, plan)]
                    )
    return text


def scenario_table(results: Results) -> str:
    """Return a table of the policies under each scenario."""
    text = ""
    for plan in plans.PLANS.values():
        text += f"\n{plan.name}\n\n" + page.header(
            ["scenario", "policy", *run_columns(plan)]
        )
        for scenario in runs.Scenario:
            for name in fleet.POLICIES:
                selected = select(
                    results, plan=plan.name, scenario=scenario, policy=name, alone=False
                )
                if selected and scenario is not runs.Scenario.NONE:
                    text += page.row([scenario.value, name, *run_cells(selected, plan)])
    return text


def target_table(results: Results) -> str:
    """Return a table of target and measured figures at 1.5 times the capacity."""
    text = page.header(["wanted at 1.5 times the capacity", *plans.PLANS])
    targets = [
        ("highest tier, of what alone would fit: 0.99", ratio_to_alone),
        ("all tiers, work of the bound: 0.90", bound_figure),
        ("wasted prefill: below 0.05", wasted_figure),
        ("wasted prefill, of the best baseline's: below 0.5", ratio_to_best_baseline),
        ("refusal to its answer, worst: 0.1 s", refusal_figure),
        ("second dispatches: 0", lambda r, p: count(r, p, "second_dispatches")),
        ("callers without a final answer: 0", lambda r, p: count(r, p, "unanswered")),
        ("wrong answers: 0", lambda r, p: count(r, p, "wrong")),
    ]
    for name, measured in targets:
        text += page.row(
            [name, *(measured(results, plan) for plan in plans.PLANS.values())]
        )
    return text


def at_overload(results: Results, plan: plans.Plan, **more: object) -> Results:
    """Return the runs at 1.5 times the capacity without a scenario."""
    criteria = {"scenario": runs.Scenario.NONE, "alone": False, **more}
    return select(results, plan=plan.name, load=policy.SCENARIO_LOAD, **criteria)


def ratio_to_alone(results: Results, plan: plans.Plan) -> str:
    """Return the highest tier's goodput relative to the tier alone, by seed."""
    tier = plan.tiers[0]
    ratios = []
    for mixed in at_overload(results, plan, policy=OWN_POLICY):
        for alone in at_overload(
            results, plan, policy=OWN_POLICY, alone=True, seed=mixed.run.seed
        ):
            fits = max(1, alone.goodput[tier].part)
            ratios.append(mixed.goodput[tier].part / fits)
    return score.spread(ratios)


def bound_figure(results: Results, plan: plans.Plan) -> str:
    """Return the good work as a fraction of its bound, over all runs."""
    return score.spread(
        map(share_of_bound, at_overload(results, plan, policy=OWN_POLICY))
    )


def wasted_figure(results: Results, plan: plans.Plan) -> str:
    """Return the wasted share of prefill, over all runs."""
    return score.spread(
        map(wasted_share, at_overload(results, plan, policy=OWN_POLICY))
    )


def ratio_to_best_baseline(results: Results, plan: plans.Plan) -> str:
    """Return the mean wasted share relative to the lowest mean of any baseline."""
    means = {}
    for name in fleet.POLICIES:
        shares = [wasted_share(r) for r in at_overload(results, plan, policy=name)]
        if shares:
            means[name] = sum(shares) / len(shares)
    own = means.pop(OWN_POLICY, 0.0)
    return f"{own / min(means.values()):.3f}" if means else "-"


def refusal_figure(results: Results, plan: plans.Plan) -> str:
    """Return p95 and maximum of the time from a refusal's decision to its answer."""
    with_refusals = [
        r for r in at_overload(results, plan, policy=OWN_POLICY) if r.refusals
    ]
    p95 = score.spread(r.refusal[1] for r in with_refusals)
    worst = max((r.refusal[2] for r in with_refusals), default=0.0)
    total = sum(r.refusals for r in with_refusals)
    return f"p95 {p95}, worst {worst:.3f} of {total}"


def count(results: Results, plan: plans.Plan, name: str) -> str:
    """Return a field's sum over all of Tealcove's runs, at any load and scenario."""
    selected = select(results, plan=plan.name, policy=OWN_POLICY)
    return f"{sum(getattr(r, name) for r in selected)} in {len(selected)} runs"


def cost_table(path: str) -> str:
    """Return a table of the figures of all runs of `bench.cost`."""
    costs = msgspec.json.decode(pathlib.Path(path).read_bytes(), type=list[cost.Cost])
    names = list(dict.fromkeys(name for one in costs for name in one.figures))
    text = page.header(["figure", *(one.label for one in costs)])
    for name in names:
        values = [one.figures.get(name) for one in costs]
        text += page.row([name, *("-" if v is None else f"{v:g}" for v in values)])
    return text


def plot(results: Results, path: str) -> None:
    """Plot goodput by tier, work and wasted prefill over the load, with ranges."""
    canvas = figure.Figure(figsize=(18, 7))
    lines = canvas.subplots(2, 5, sharex=True)
    for line, plan in zip(lines, plans.PLANS.values(), strict=True):
        of_plan = select(
            results, plan=plan.name, scenario=runs.Scenario.NONE, alone=False
        )
        for axis, tier in zip(line, plan.tiers, strict=False):
            axis.set_title(f"{plan.name}: goodput, {tier}")
            draw_metric(axis, of_plan, lambda r, tier=tier: r.goodput[tier].value)
        line[3].set_title("good work of the bound")
        draw_metric(line[3], of_plan, share_of_bound)
        line[4].set_title("wasted prefill")
        draw_metric(line[4], of_plan, wasted_share)
    for axis in lines[1]:
        axis.set_xlabel("load, of the capacity")
    lines[0][0].legend()
    canvas.tight_layout()
    canvas.savefig(path, dpi=80)


def draw_metric(
    axis: axes.Axes, results: Results, value: Callable[[runs.Result], float]
) -> None:
    """Plot a metric for each policy: means as lines, ranges as error bars."""
    axis.set_ylim(0, 1.05)
    for name in fleet.POLICIES:
        own = select(results, policy=name)
        loads = sorted({r.run.load for r in own})
        values_by_load = [[value(r) for r in select(own, load=x)] for x in loads]
        means = [sum(values) / len(values) for values in values_by_load]
        low = [mean - min(f) for mean, f in zip(means, values_by_load, strict=True)]
        high = [max(f) - mean for mean, f in zip(means, values_by_load, strict=True)]
        if loads:
            axis.errorbar(
                loads, means, yerr=[low, high], label=name, marker="o", capsize=3
            )


@dataclasses.dataclass
class Arguments:
    """Write the tables into a page and draw the plot."""

    label: Annotated[str, cappa.Arg(long=True)]
    # A later revision, whose runs go into a section of their own.
    after: Annotated[str, cappa.Arg(long=True)] = ""
    results: Annotated[str, cappa.Arg(long=True)] = "docs/measurements/policy.json"
    costs: Annotated[str, cappa.Arg(long=True)] = "docs/measurements/cost.json"
    page: Annotated[str, cappa.Arg(long=True)] = PAGE
    plot: Annotated[str, cappa.Arg(long=True)] = "docs/measurements/policy.png"


def main() -> None:
    """Update the page's tables and write the plot."""
    arguments = cappa.parse(Arguments)
    results = read_results(arguments.results, arguments.label)
    tables = {
        "loads": load_table(results),
        "scenarios": scenario_table(results),
        "wanted": target_table(results),
        "competing figures": accounts.competing_table(results),
    }
    for scenario in runs.BY_ACCOUNT:
        name = scenario.value
        tables[name] = load_table(results, scenario)
        tables[f"{name} by account"] = accounts.account_table(results, scenario)
    if arguments.after:
        later = read_results(arguments.results, arguments.after)
        tables["after"] = load_table(later) + scenario_table(later)
    if pathlib.Path(arguments.costs).exists():
        tables["cost"] = cost_table(arguments.costs)
    path = pathlib.Path(arguments.page)
    path.write_text(page.replace_tables(path.read_text("utf-8"), tables), "utf-8")
    if select(results, scenario=runs.Scenario.NONE):
        plot(results, arguments.plot)


if __name__ == "__main__":
    main()
