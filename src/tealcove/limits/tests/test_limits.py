"""Lent limits over linked instances, with a clock that the tests control."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from tealcove.limits import admission, limit, presence
from tealcove.limits import role as limits_role
from tealcove.limits.tests import builders
from tealcove.resources import kinds

LIMIT = limit.Limit(rate=1000.0, burst=5000.0)
COUNT = 8
# Two entries get most of the load, and one none.
UNEVEN = [3000.0, 1500.0, 200.0, 100.0, 100.0, 50.0, 20.0, 0.0]


def within_a_tenth(spent: float, expected: float) -> bool:
    """Return whether a number is within 10% of the expected one."""
    return abs(spent - expected) <= 0.1 * expected


def spend(cluster: builders.Cluster, seconds: float, rates: list[float]) -> float:
    """Return the tokens spent by requests of 20 tokens at rates by entry."""
    before = cluster.spent
    cluster.run(seconds, builders.uneven(rates, 20.0))
    return cluster.spent - before


def test_uneven_load_on_eight_instances_gets_the_limit() -> None:
    cluster = builders.Cluster(COUNT, LIMIT)
    spend(cluster, 20.0, UNEVEN)
    assert within_a_tenth(spend(cluster, 60.0, UNEVEN), 60.0 * LIMIT.rate)


def test_load_that_shifts_to_other_entries_gets_the_limit() -> None:
    cluster = builders.Cluster(COUNT, LIMIT)
    spend(cluster, 20.0, UNEVEN)
    spend(cluster, 5.0, UNEVEN[::-1])
    assert within_a_tenth(spend(cluster, 60.0, UNEVEN[::-1]), 60.0 * LIMIT.rate)


def test_load_below_the_limit_is_never_refused() -> None:
    cluster = builders.Cluster(COUNT, LIMIT)
    spend(cluster, 60.0, [rate * 0.15 for rate in UNEVEN])
    assert cluster.refused == 0


def test_a_single_entry_gets_the_burst_after_a_pause() -> None:
    cluster = builders.Cluster(COUNT, LIMIT)
    spent = spend(cluster, 1.0, [0.0] * 3 + [50_000.0] + [0.0] * 4)
    assert LIMIT.burst * 0.9 <= spent <= LIMIT.burst + 1.2 * LIMIT.rate


def test_large_requests_get_the_limit_on_debt() -> None:
    cluster = builders.Cluster(COUNT, LIMIT)
    load = builders.uneven(UNEVEN, 4000.0)
    cluster.run(30.0, load)
    before = cluster.spent
    cluster.run(400.0, load)
    assert within_a_tenth(cluster.spent - before, 400.0 * LIMIT.rate)


def test_unused_tokens_are_refunded_once() -> None:
    cluster = builders.Cluster(1, LIMIT)
    charge = cluster.ask(0, 100.0)
    held = cluster.limits[0].allowances[builders.ACCOUNT]
    charge.settle(40.0)
    charge.settle(0.0)
    assert held.spent == 40.0


def test_a_refusal_says_when_to_retry() -> None:
    cluster = builders.Cluster(1, LIMIT)
    cluster.ask(0, 12_000.0)
    cluster.run(1.0)
    with pytest.raises(admission.OverLimitError) as refused:
        cluster.limits[0].charge(builders.ACCOUNT, 1.0, cluster.now)
    wait = refused.value.retry_after
    cluster.run(wait + 3.0)
    assert cluster.ask(0, 1.0) is not None


def test_failure_of_the_home_neither_stops_nor_doubles_the_limit() -> None:
    """Guard against another burst whenever an account's home dies.

    The next in rank takes over. If it starts with a full ledger, it lends again what
    the entries still have from the former home.
    """
    cluster = builders.Cluster(COUNT, LIMIT)
    spend(cluster, 20.0, UNEVEN)
    home = cluster.home()
    cluster.dead.add(home)
    everywhere = [4000.0] * COUNT
    spent = spend(cluster, 10.0, everywhere)
    assert spent <= 10.0 * LIMIT.rate + 0.3 * LIMIT.burst
    assert within_a_tenth(spend(cluster, 60.0, everywhere), 60.0 * LIMIT.rate)


def test_a_new_home_lends_no_burst_before_all_entries_can_have_reported() -> None:
    """Guard against a burst from each of two homes when the instances change.

    An entry asks the new home before the others have reported what they were lent. A
    new ledger with a full burst would lend it again.
    """
    cluster = builders.Cluster(2, LIMIT)
    for limits in cluster.limits:
        limits.presence.changed_at = cluster.now
    assert spend(cluster, 1.0, [50_000.0, 0.0]) <= 2.5 * LIMIT.rate


def test_an_entry_that_alone_cannot_reach_the_home_keeps_its_share() -> None:
    """Guard against twice the limit while one link is down.

    An entry reaches all instances but the account's home. If it asks the next in rank,
    that instance lends the whole limit again.
    """
    cluster = builders.Cluster(COUNT, LIMIT)
    spend(cluster, 20.0, UNEVEN)
    home = cluster.home()
    entry = 0 if home != 0 else 1
    cluster.cut.add(frozenset((entry, home)))
    share = cluster.limits[entry].allowances[builders.ACCOUNT].rate
    spend(cluster, 3.0, UNEVEN)
    alone = [rate if n == entry else 0.0 for n, rate in enumerate(UNEVEN)]
    spent = spend(cluster, 60.0, alone)
    assert spent <= 60.0 * share * 1.1
    assert spent >= 60.0 * share * 0.9


@pytest.mark.parametrize("size", [1, 4])
def test_both_sides_of_a_partition_together_stay_near_the_limit(size: int) -> None:
    """Guard against twice the limit for as long as a partition lasts, an hour.

    Two groups of instances are partitioned, and each has a home. Both would lend the
    whole limit.
    """
    cluster = builders.Cluster(COUNT, LIMIT)
    spend(cluster, 20.0, UNEVEN)
    for one in range(size):
        for other in range(size, COUNT):
            cluster.cut.add(frozenset((one, other)))
    everywhere = [2000.0] * COUNT
    spend(cluster, 20.0, everywhere)
    spent = spend(cluster, 60.0, everywhere)
    assert spent <= 60.0 * LIMIT.rate * (1.1 + presence.MAX_DEAD_FRACTION)
    assert spent >= 60.0 * LIMIT.rate * 0.9


def test_accounts_without_limit_or_use_hold_no_state() -> None:
    free = builders.Cluster(2, None)
    free.ask(0, 1e9)
    assert free.spent == 1e9
    assert free.limits[0].allowances == {}
    assert free.links[0].sent == 0
    used = builders.Cluster(2, LIMIT)
    spend(used, 5.0, [2000.0, 0.0])
    used.run(limits_role.IDLE_SECONDS + 60.0)
    for limits in used.limits:
        assert limits.allowances == {}
        assert limits.reported_at == {}
        assert limits.home.ledgers == {}


def test_the_default_burst_is_ten_seconds_of_the_rate() -> None:
    spec = kinds.ClientAccountSpec(tier="t", tokens_per_second=50.0)
    assert limit.of_spec(spec) == limit.Limit(50.0, 500.0)
    assert limit.of_spec(kinds.ClientAccountSpec(tier="t")) is None


LOADS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 6),
        strategies.lists(
            strategies.sampled_from([0.0, 50.0, 900.0, 6000.0]), min_size=4, max_size=4
        ),
        strategies.sampled_from([5.0, 50.0, 400.0]),
    ),
    min_size=1,
    max_size=8,
)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(LOADS)
def test_no_load_gets_more_than_the_bound(
    loads: list[tuple[int, list[float], float]],
) -> None:
    """Check that spent <= burst + rate * t + slack at every moment.

    The slack is one request on debt for each entry, and the provisional share of one
    second with which each entry starts.
    """
    cluster = builders.Cluster(4, LIMIT)
    start = cluster.now
    largest = 0.0
    for seconds, rates, tokens in loads:
        largest = max(largest, tokens)
        cluster.run(seconds, builders.uneven(rates, tokens))
        slack = 4 * largest + 2 * LIMIT.rate
        bound = LIMIT.burst + LIMIT.rate * (cluster.now - start) + slack
        assert cluster.spent <= bound


def test_closing_an_account_waives_no_debt() -> None:
    """Guard against many times the limit for an account of few, large requests.

    A request is admitted on debt, and the entry closes the idle account. If the debt is
    dropped with it, the next request starts without one.
    """
    cluster = builders.Cluster(COUNT, limit.Limit(rate=100.0, burst=100.0))
    for _ in range(20):
        cluster.ask(0, 4000.0)
        cluster.run(limits_role.IDLE_SECONDS + 2.0)
        cluster.ask(0, 1.0)
        cluster.run(2.0)
    elapsed = 20 * (limits_role.IDLE_SECONDS + 4.0)
    assert cluster.spent <= 100.0 + 100.0 * elapsed + 2 * 4000.0
