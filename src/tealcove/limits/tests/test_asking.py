"""Limits that are asked for at one home, as that home decides."""

from __future__ import annotations

import asyncio

import logbook
import pytest

from tealcove import clock, ids
from tealcove.limits import admission, asking, limit, messages, presence
from tealcove.limits.tests import builders

LIMIT = limit.Limit(rate=10.0, burst=1000.0)
LATER = 2 * asking.SETTLE_SECONDS


@pytest.fixture
def cluster() -> builders.Cluster:
    """Return three instances that know each other."""
    return builders.Cluster(3, LIMIT)


def new_limits(cluster: builders.Cluster) -> asking.AskingLimits:
    """Return the limits of the first instance."""
    return asking.AskingLimits(
        cluster.links[0],
        cluster.members[0],
        cluster.find_limit,
        builders.SLACK,
        cluster.now,
    )


def question(tokens: float, number: int = 1) -> messages.AskCharge:
    """Return what an entry asks."""
    return messages.AskCharge(
        number=number,
        account=builders.ACCOUNT,
        tokens=tokens,
        request=ids.RequestId(f"r-{number}"),
    )


def passed(
    limits: asking.AskingLimits, cluster: builders.Cluster, alone: bool = False
) -> float:
    """Return how many tokens pass at once, asked for in small requests."""
    decide = limits.decide_alone if alone else limits.decide
    total = 0.0
    while decide(question(50.0), cluster.now).retry_after == 0.0:
        total += 50.0
    return total


def test_a_settled_home_lets_a_burst_pass_and_says_when_to_come_back(
    cluster: builders.Cluster,
) -> None:
    limits = new_limits(cluster)
    limits.decide(question(0.0), cluster.now)
    cluster.run(LATER)
    limits.buckets.clear()
    assert LIMIT.burst <= passed(limits, cluster) <= LIMIT.burst + 50.0
    assert limits.decide(question(50.0), cluster.now).retry_after > 0.0


def test_a_new_home_lets_a_part_of_the_burst_pass(cluster: builders.Cluster) -> None:
    """An account gets its whole burst again at each change of its home.

    Symptom: more tokens run than the limit allows. Sequence: an account uses its
    burst; its home dies. Cause: the next home begins with a full bucket.
    """
    limits = new_limits(cluster)
    part = asking.UNSETTLED_PART * LIMIT.burst
    assert part <= passed(limits, cluster) <= part + 50.0


def test_instances_that_reach_no_home_keep_the_limit_together(
    cluster: builders.Cluster,
) -> None:
    """Each of many instances that are cut off lets the whole limit pass."""
    total = passed(new_limits(cluster), cluster, alone=True)
    assert LIMIT.burst / 3 <= total <= LIMIT.burst / 3 + 50.0


async def test_requests_within_the_limit_pass_while_many_homes_are_dead() -> None:
    """Callers well within their limit get 429 after a mass kill.

    Symptom: a quarter of all requests get 429 for 2 s. Sequence: six of ten instances
    lose power, and nobody suspects them yet. Cause: an entry that doesn't reach the
    home of an account counts by its own equal part at once, a tenth of the limit here.
    """
    group = builders.AskingGroup(10, LIMIT)
    ranked = group.ranked()
    group.dead.update(ranked[:2])
    entry = next(n for n in range(10) if n not in ranked)
    for _ in range(4):
        charge = await group.limits[entry].admit(builders.ACCOUNT, 100.0, "r-1")
        assert charge.home == f"i{ranked[2]}"
    # The dead ones were asked once, not by each request.
    assert [group.links[entry].sent.count(n) for n in ranked[:3]] == [1, 1, 4]


async def test_homes_without_a_connection_are_passed_over_at_once() -> None:
    group = builders.AskingGroup(10, LIMIT)
    ranked = group.ranked()
    group.unconnected.update(ranked[:4])
    entry = next(n for n in range(10) if n not in ranked)
    charge = await group.limits[entry].admit(builders.ACCOUNT, 100.0, "r-1")
    assert charge.home == f"i{ranked[4]}"


async def test_an_entry_that_reaches_nobody_counts_by_itself() -> None:
    """Each request at an entry that is cut off waits for every home anew."""
    group = builders.AskingGroup(10, LIMIT)
    entry = next(n for n in range(10) if n not in group.ranked())
    group.dead.update(set(range(10)) - {entry})
    limits = group.limits[entry]
    for _ in range(2):
        charge = await limits.admit(builders.ACCOUNT, 60.0, "r-1")
        assert charge.home is None
    with pytest.raises(admission.OverLimitError):
        for _ in range(3):
            await limits.admit(builders.ACCOUNT, 60.0, "r-1")
    assert len(group.links[entry].sent) == presence.HOMES


async def test_whoever_stands_in_keeps_to_a_part_of_the_limit() -> None:
    """An account gets its limit twice while some entries can't reach its home."""
    group = builders.AskingGroup(10, LIMIT)
    second = group.limits[group.ranked()[1]]
    total = 0.0
    while second.decide(question(50.0), clock.now()).retry_after == 0.0:
        total += 50.0
    part = asking.STAND_IN_PART * LIMIT.burst
    assert part <= total <= part + 50.0


def test_instances_that_all_begin_at_once_keep_to_one_limit(
    cluster: builders.Cluster,
) -> None:
    """An account gets its burst many times after a restart of everything.

    Symptom: in the 8 s after it, more tokens run than operators allow; 57 of 87
    instances let one account's requests pass as its home. Sequence: all instances end
    at once and begin again. Cause: each knows itself alone at first, so that it's the
    home of every account, with the whole limit.
    """
    count, tokens = 40, 5.0
    known = [cluster.new_members(number) for number in range(count)]
    began = [
        asking.AskingLimits(
            cluster.links[0],
            members,
            cluster.find_limit,
            builders.SLACK,
            cluster.now,
            lambda: count,
        )
        for members in known
    ]

    def passing(limits: asking.AskingLimits) -> float:
        total = 0.0
        while limits.decide(question(tokens), cluster.now).retry_after == 0.0:
            total += tokens
        return total

    # 20,000 where none counts those that it doesn't know yet.
    unsettled = asking.UNSETTLED_PART * LIMIT.burst
    assert sum(passing(limits) for limits in began) <= unsettled + count * tokens
    for other in known[1:]:
        known[0].record_heartbeat(other.own, cluster.now)
    home = began[0]
    home.presence.follow(cluster.now)
    home.presence.homes[builders.ACCOUNT] = (known[0].own.instance,)
    # Who knows all again begins with its half of the burst, and with no more later.
    total = passing(home)
    assert 0.9 * unsettled <= total <= unsettled + tokens
    assert passing(home) == 0.0


async def test_tokens_go_back_to_whoever_counted_them() -> None:
    group = builders.AskingGroup(10, LIMIT)
    ranked = group.ranked()
    group.dead.add(ranked[0])
    entry = next(n for n in range(10) if n not in ranked)
    charge = await group.limits[entry].admit(builders.ACCOUNT, 100.0, "r-1")
    held = group.limits[ranked[1]].buckets[builders.ACCOUNT]
    before = held.level
    charge.settle(0.0)
    await asyncio.sleep(0)
    assert held.level == before + 100.0


def test_the_home_log_names_the_request(cluster: builders.Cluster) -> None:
    """Nobody can tell why a request got 429.

    Symptom: its id leads to the entry's line only, which doesn't show the bucket.
    Sequence: the home of its account is another instance. Cause: the question
    didn't say which request it was about.
    """
    limits = new_limits(cluster)
    with logbook.TestHandler() as lines:
        limits.decide(question(50.0, 7), cluster.now)
    assert lines.records[-1].extra["request"] == "r-7"


def test_tokens_of_a_request_that_has_not_run_come_back(
    cluster: builders.Cluster,
) -> None:
    limits = new_limits(cluster)
    passed(limits, cluster)
    assert limits.decide(question(50.0), cluster.now).retry_after > 0.0
    back = messages.GiveBack(account=builders.ACCOUNT, tokens=200.0)
    limits.take_back(ids.InstanceId("i1"), back)
    assert limits.decide(question(50.0), cluster.now).retry_after == 0.0


def test_an_account_without_a_limit_always_passes(cluster: builders.Cluster) -> None:
    cluster.limit = None
    limits = new_limits(cluster)
    assert limits.decide(question(1e9), cluster.now).retry_after == 0.0
    assert limits.decide_alone(question(1e9), cluster.now).retry_after == 0.0
