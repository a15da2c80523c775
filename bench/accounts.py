"""Tables and figures of results by client account."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable

from bench import callers, page, plans, runs, score

COLUMNS = ["plan", "load", "account", "sent", "in time", "refused"]
REFUSED = callers.Outcome.NOT_RUN.value


def goodput_beside_flood(result: runs.Result) -> score.Share:
    """Return the goodput in the flood of the flooding account's tier without it."""
    flooding, *others = result.run.deployed_plan().accounts
    shares = [
        result.goodput_in_flood[account.name]
        for account in others
        if account.tier == flooding.tier
    ]
    return score.Share(sum(s.part for s in shares), sum(s.of for s in shares))


def worst_of_equal(result: runs.Result, tier: str) -> float:
    """Return the fewest requests in time of a tier's equal accounts, of the median.

    Requests are counted, not their share of those sent: sharing is fair by what
    accounts get, and they don't send exactly the same number. The flooding account
    isn't counted. NaN if the median is 0.
    """
    equal = [
        result.goodput_by_account[account.name].part
        for account in result.run.deployed_plan().accounts[1:]
        if account.tier == tier
    ]
    median = statistics.median(equal)
    return min(equal) / median if median else math.nan


def refused(ends: dict[str, int]) -> int:
    """Return the number of requests that weren't run."""
    return sum(number for name, number in ends.items() if name.startswith(REFUSED))


def competing_table(results: Iterable[runs.Result]) -> str:
    """Return a table of the figures that docs/design/hard-load.md requires."""
    groups = by_plan_and_load(results, runs.Scenario.COMPETING_ACCOUNTS)
    text = page.header(
        [
            "plan",
            "load",
            "beside the flooding account, in time",
            "worst of equal, by tier",
        ]
    )
    for (plan, load), group in groups.items():
        beside = score.spread(goodput_beside_flood(result).value for result in group)
        worst = ", ".join(
            f"{tier} {score.spread(worst_of_equal(result, tier) for result in group)}"
            for tier in plans.PLANS[plan].tiers
        )
        text += page.row([plan, f"{load:g}", beside, worst])
    return text


def account_table(results: Iterable[runs.Result], scenario: runs.Scenario) -> str:
    """Return a table of all accounts' outcomes in a scenario."""
    text = page.header(COLUMNS)
    for (plan, load), group in by_plan_and_load(results, scenario).items():
        for name in group[0].goodput_by_account:
            text += page.row([plan, f"{load:g}", name, *account_cells(group, name)])
    return text


def account_cells(results: list[runs.Result], name: str) -> list[str]:
    """Return the cells of an account: sums, and means over the runs with ranges."""
    return [
        str(sum(result.goodput_by_account[name].of for result in results)),
        score.spread(result.goodput_by_account[name].value for result in results),
        str(sum(refused(result.ends_by_account[name]) for result in results)),
    ]


def by_plan_and_load(
    results: Iterable[runs.Result], scenario: runs.Scenario
) -> dict[tuple[str, float], list[runs.Result]]:
    """Return a scenario's results, grouped by plan and load."""
    groups: dict[tuple[str, float], list[runs.Result]] = {}
    for result in results:
        if result.run.scenario is scenario:
            groups.setdefault((result.run.plan, result.run.load), []).append(result)
    return dict(sorted(groups.items()))
