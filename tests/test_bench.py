"""The arithmetic of the benchmarks."""

import math

import pytest
from bench import arrivals, callers, plans, score

SHAPES = plans.shapes(short=(40, 4, 1.5), shared=32, long_deadline=8.0)


def sent(
    at: float = 0.0,
    seconds: float = 1.0,
    length: plans.Length = plans.Length.SHORT,
    outcome: callers.Outcome = callers.Outcome.COMPLETED,
) -> callers.SentRequest:
    return callers.SentRequest(
        key="k",
        tier="line",
        length=length,
        at=at,
        deadline=SHAPES[length].deadline,
        seconds=seconds,
        lag=0.0,
        outcome=outcome,
    )


def test_goodput_counts_only_whole_answers_in_time() -> None:
    found = [
        sent(),
        sent(seconds=1.6),
        sent(outcome=callers.Outcome.NOT_RUN),
        sent(outcome=callers.Outcome.WRONG),
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
    shape = SHAPES[plans.Length.LONG]
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
        sent(at=3.0, seconds=2.0, length=long),
        sent(at=7.0, seconds=2.0, length=long),
        sent(at=5.0, seconds=9.0, length=long),
    ]
    done, bound = score.work_and_bound(plan, found, window)
    one = plan.work(long) / (plan.capacity() * 4.0)
    assert done == pytest.approx(one)
    assert bound == pytest.approx(2 * one)
    many = [sent(at=5.0, length=long)] * 1000
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
