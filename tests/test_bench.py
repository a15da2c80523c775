"""The arithmetic of the benchmarks."""

import math

import msgspec
import pytest
from bench import accounts, arrivals, callers, faults, plans, policy, runs, score

from tests import bench_builders


def test_goodput_counts_only_whole_answers_in_time() -> None:
    found = [
        bench_builders.sent(),
        bench_builders.sent(seconds=1.6),
        bench_builders.sent(outcome=callers.Outcome.NOT_RUN),
        bench_builders.sent(outcome=callers.Outcome.WRONG),
    ]
    assert score.goodput(found) == score.Share(1, 4)
    assert score.outcome_counts(found) == {
        "completed": 1,
        "completed late": 1,
        "not_run": 1,
        "wrong": 1,
    }


def test_slot_seconds_follow_from_the_engine_settings() -> None:
    engine = plans.Engine("vannes", "g2", slots=8)
    shape = bench_builders.SHAPES[plans.Length.LONG]
    prefill = (4000 - 2048) / (16_000 * 0.67)
    decode = 400 * 0.004 / 0.67 * (1 + 0.02 * 7)
    assert engine.slot_seconds(shape) == pytest.approx(prefill + decode)


@pytest.mark.parametrize("plan", plans.PLANS.values())
def test_capacity_is_the_sum_of_the_engines(plan: plans.Plan) -> None:
    busy = sum(e.slots / plan.mean_slot_seconds(e) for e in plan.engines)
    assert plan.capacity() == pytest.approx(busy)
    mean = sum(plan.share(length) * plan.work(length) for length in plan.shapes)
    assert mean == pytest.approx(1.0)
    assert sum(account.share for account in plan.accounts) == pytest.approx(1.0)


def test_work_counts_when_it_ends_and_its_bound_is_the_capacity() -> None:
    plan = plans.ETIQUETTE_ARMOR
    window = score.Window(4.0, 8.0)
    long = plans.Length.LONG
    found = [
        bench_builders.sent(at=3.0, seconds=2.0, length=long),
        bench_builders.sent(at=7.0, seconds=2.0, length=long),
        bench_builders.sent(at=5.0, seconds=9.0, length=long),
    ]
    done, bound = score.work_and_bound(plan, found, window)
    one = plan.work(long) / (plan.capacity() * 4.0)
    assert done == pytest.approx(one)
    assert bound == pytest.approx(2 * one)
    many = [bench_builders.sent(at=5.0, length=long)] * 1000
    assert score.work_and_bound(plan, many, window)[1] == 1.0


def test_a_tier_sends_the_same_requests_alone() -> None:
    plan = plans.MAKINDU
    whole = arrivals.generate(plan, 1.5, 2.0, 1, plan.tiers)
    alone = arrivals.generate(plan, 1.5, 2.0, 1, plan.tiers[:1])
    assert alone == [request for request in whole if request.tier == plan.tiers[0]]
    assert len({request.prompt for request in whole}) == len(whole)


def test_percentiles_and_spread() -> None:
    assert score.percentile(range(1, 101), 95) == 95
    assert math.isnan(score.percentile([], 50))
    assert score.spread([1.0, 2.0, math.nan]) == "1.500 (1.000-2.000)"
    assert score.spread([]) == "-"


@pytest.mark.parametrize("plan", plans.PLANS.values())
def test_equal_accounts_keep_the_share_of_their_tier(plan: plans.Plan) -> None:
    equal = plans.with_equal_accounts(plan)
    for tier in plan.tiers:
        shares = [account.share for account in equal.accounts if account.tier == tier]
        before = sum(a.share for a in plan.accounts if a.tier == tier)
        assert shares == [pytest.approx(before / plans.EQUAL_ACCOUNTS)] * len(shares)
        assert len(shares) == plans.EQUAL_ACCOUNTS
    assert equal.capacity() == plan.capacity()


def test_only_one_account_floods_and_only_for_its_period() -> None:
    # Were more sent by others or at other times, a run would show neither whether the
    # accounts beside the flooding one keep their share nor what they usually get.
    run = bench_builders.run(runs.Scenario.COMPETING_ACCOUNTS)
    plan = run.deployed_plan()
    requests = faults.sent_requests(run, plan)
    usual = arrivals.generate(plan, run.load, run.seconds, run.seed, plan.tiers)
    usual += arrivals.generate_calls(plan, run.seconds, run.seed)
    keys = {request.key for request in usual}
    added = [request for request in requests if request.key not in keys]
    assert len(requests) == len(usual) + len(added)
    assert requests == sorted(requests, key=lambda request: request.at)
    assert {request.account for request in added} == {"line-0"}
    flood = faults.flood(run)
    assert all(flood.start <= request.at < flood.stop for request in added)
    rate = run.load * plan.capacity() * plan.accounts[0].share
    expected = (arrivals.FLOOD_FACTOR - 1) * rate * (flood.stop - flood.start)
    assert len(added) == pytest.approx(expected, rel=0.15)


def test_a_flood_ends_with_a_short_run() -> None:
    run = msgspec.structs.replace(
        bench_builders.run(runs.Scenario.COMPETING_ACCOUNTS), seconds=6.0
    )
    assert faults.flood(run).stop == 6.0


@pytest.mark.parametrize("plan", plans.PLANS.values())
def test_uneven_engines_take_their_factor_of_the_usual_time(plan: plans.Plan) -> None:
    uneven = plans.with_uneven_engines(plan)
    taken = [
        changed.slot_seconds(shape) / usual.slot_seconds(shape)
        for usual, changed in zip(plan.engines, uneven.engines, strict=True)
        for shape in [plan.shapes[plans.Length.LONG]]
    ]
    assert taken[:3] == pytest.approx([0.68, 0.68, 3.0])
    assert taken[3:6] == pytest.approx([0.68, 0.68, 3.0])
    rates = [e.slots / plan.mean_slot_seconds(e) for e in plan.engines]
    expected = sum(rate / factor for rate, factor in zip(rates, taken, strict=True))
    assert uneven.capacity() == pytest.approx(expected)


@pytest.mark.parametrize(("engines", "at_a_time"), [(6, 1), (9, 1), (20, 3)])
def test_engines_are_slowed_in_turn(engines: int, at_a_time: int) -> None:
    # An engine that is never slowed, or always, would be known after a few requests.
    turns = [faults.slowed_numbers(turn, engines) for turn in range(engines)]
    assert {len(turn) for turn in turns} == {at_a_time}
    slowed = [number for turn in turns for number in turn]
    assert sorted(slowed) == sorted(list(range(engines)) * at_a_time)


def test_a_result_shows_what_each_account_got_and_what_was_refused() -> None:
    found = [
        *bench_builders.sent_by("line-0", good=1, refused=3),
        *bench_builders.sent_by("line-1", good=2, refused=0),
        bench_builders.sent(at=1.0, account="line-1", seconds=5.0),
    ]
    result = bench_builders.result(runs.Scenario.COMPETING_ACCOUNTS, found)
    assert result.goodput == {"line": score.Share(3, 7)}
    assert result.goodput_by_account["line-0"] == score.Share(1, 4)
    assert result.goodput_by_account["line-1"] == score.Share(2, 3)
    assert result.goodput_in_flood["line-1"] == score.Share(2, 2)
    assert result.ends_by_account["line-0"] == {"completed": 1, "not_run": 3}
    assert accounts.refused(result.ends_by_account["line-0"]) == 3
    # Accounts that sent nothing are listed as well.
    assert len(result.goodput_by_account) == 3 * plans.EQUAL_ACCOUNTS


def test_results_of_other_scenarios_have_no_figures_by_account() -> None:
    # Results of earlier revisions are compared with later ones field by field.
    result = bench_builders.result(runs.Scenario.BURST, [bench_builders.sent()])
    assert b"account" not in msgspec.json.encode(result)
    uneven = bench_builders.result(
        runs.Scenario.UNEVEN_SERVERS, [bench_builders.sent()]
    )
    encoded = msgspec.json.encode(uneven)
    assert b"goodput_by_account" in encoded
    assert b"goodput_in_flood" not in encoded
    assert msgspec.json.decode(encoded, type=runs.Result) == uneven


def test_accounts_beside_a_flood_are_those_of_its_tier() -> None:
    # Lower tiers get nothing beside a higher one; that is no loss of fairness.
    found = [
        *bench_builders.sent_by("line-0", good=1, refused=90),
        *bench_builders.sent_by("line-1", good=9, refused=1),
        *bench_builders.sent_by("line-2", good=10, refused=0),
        *bench_builders.sent_by("desk-0", good=0, refused=10),
    ]
    result = bench_builders.result(runs.Scenario.COMPETING_ACCOUNTS, found)
    assert accounts.goodput_beside_flood(result) == score.Share(19, 20)


def test_the_worst_of_equal_accounts_is_compared_to_their_median() -> None:
    # By the share of what it sent, an account that sent a little less or more than the
    # others would look favoured or neglected where all got the same.
    found = [
        *bench_builders.sent_by("line-0", good=0, refused=90),
        *bench_builders.sent_by("line-1", good=3, refused=7),
        *bench_builders.sent_by("line-2", good=6, refused=4),
        *bench_builders.sent_by("line-3", good=6, refused=4),
        *bench_builders.sent_by("line-4", good=8, refused=30),
    ]
    for number in range(plans.EQUAL_ACCOUNTS):
        found += bench_builders.sent_by(f"desk-{number}", good=0, refused=1)
    result = bench_builders.result(runs.Scenario.COMPETING_ACCOUNTS, found)
    assert accounts.worst_of_equal(result, "line") == pytest.approx(0.5)
    assert math.isnan(accounts.worst_of_equal(result, "desk"))


def test_tables_have_a_row_for_each_account() -> None:
    scenario = runs.Scenario.COMPETING_ACCOUNTS
    found = bench_builders.sent_by("line-0", good=1, refused=3)
    results = [bench_builders.result(scenario, found)] * 2
    table = accounts.account_table(results, scenario)
    assert "\n| etiquette-armor | 1 | line-0 | 8 | 0.250 (0.250-0.250) | 6 |\n" in table
    assert table.count("\n| etiquette-armor | 1 | ") == 3 * plans.EQUAL_ACCOUNTS
    other = accounts.account_table(results, runs.Scenario.UNEVEN_SERVERS)
    assert len(other.splitlines()) == 2
    figures = accounts.competing_table(results).splitlines()[-1]
    assert figures.startswith("| etiquette-armor | 1 | 1.000 (1.000-1.000) | line ")


def test_some_scenarios_run_at_all_loads() -> None:
    some = "competing accounts,uneven servers"
    arguments = policy.Arguments(out="", label="", only=some, loads="0.7,1")
    found = policy.loads_and_scenarios(arguments)
    assert [load for load, _ in found] == [0.7, 0.7, 1.0, 1.0]
    assert {scenario for _, scenario in found} == set(runs.BY_ACCOUNT)
    arguments = policy.Arguments(out="", label="", loads="3")
    assert policy.loads_and_scenarios(arguments) == [(3.0, runs.Scenario.NONE)]
