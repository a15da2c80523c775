"""Refusals under overload: how many are served in time, and when others are told."""

from __future__ import annotations

import math

import pytest

from tealcove import ids
from tealcove.admission import policy
from tealcove.admission.tests import builders
from tealcove.dispatch import goal
from tealcove.dispatch.tests import builders as dispatching

# Of 1,200 requests that the servers complete in 20 s.
LEAST_IN_TIME = 1150
# Seconds: an eighth of the goal.
MAX_MEDIAN_WAIT = 0.075


def admitting() -> goal.GoalScheduler:
    found = dispatching.goal_scheduler(*builders.SERVERS)
    found.use_admission(policy.AdmitByGoal())
    return found


@pytest.mark.parametrize("seed", builders.SEEDS)
@pytest.mark.parametrize("load", [1.2, 1.5, 2.0, 3.0])
def test_an_overload_leaves_the_served_in_time_and_refuses_at_once(
    load: float, seed: int
) -> None:
    """Guards against slots that go to late requests, and callers who wait in vain.

    At twice the capacity 975 of 1,200 requests were served in time when a ticket was
    refused only for its deadline, and half of the refusals took longer than 0.54 s.
    """
    play = builders.overload(admitting(), load, seed)
    in_time = [
        request
        for request in play.requests
        if request.is_in_time and request.first_event_at <= builders.RUN_SECONDS
    ]
    assert len(in_time) >= LEAST_IN_TIME
    assert play.median_refusal_wait() <= MAX_MEDIAN_WAIT
    assert not any(request.had_free_slot for request in play.requests)


@pytest.mark.parametrize("seed", builders.SEEDS)
def test_waits_of_the_served_stay_below_the_goal(seed: int) -> None:
    """Guards against a line so long that its requests start at the brink of the goal.

    A delay of a few hundredths of a second would make nearly all of them late.
    """
    play = builders.overload(admitting(), 2.0, seed)
    served = sorted(
        request.first_event_at - request.arrived
        for request in play.requests
        if request.first_event_at is not None
    )
    assert served[int(0.95 * len(served))] <= 0.95 * builders.GOAL_SECONDS


@pytest.mark.parametrize("seed", builders.SEEDS)
def test_nothing_is_refused_below_capacity(seed: int) -> None:
    """Guards against refusals of requests for which there is capacity."""
    play = builders.overload(admitting(), 0.8, seed)
    assert play.refusal_waits() == []
    assert play.served() == len(play.requests)


def test_a_late_ticket_waits_while_late_work_fits() -> None:
    """Guards against refusals after a short burst that leaves time to catch up."""
    play = builders.Play(admitting())
    # The scheduler learns how long requests take.
    play.add_poisson(0.1 * builders.CAPACITY, 0.0, 5.0, 1)
    for number in range(5 * builders.SLOTS // 2):
        play.add(10.0 + number / 1000)
    play.run(20.0)
    assert play.refusal_waits() == []
    assert play.served() == len(play.requests)
    assert play.in_time() < len(play.requests)


@pytest.mark.parametrize(
    ("share", "expected"), [(0.5, 1.0), (0.05, 2.0), (0.0, math.inf), (-1.0, math.inf)]
)
def test_late_work_waits_by_the_share_that_is_really_left(
    share: float, expected: float
) -> None:
    """Guards against a forecast that always leaves late work a tenth of the slots."""
    assert policy.late_seconds(1.0, share) == pytest.approx(expected)


@pytest.mark.parametrize(
    "changes", [{"goal": 0.0}, {"goal": 0.6, "version": ids.SoftwareVersion("v1")}]
)
def test_some_requests_are_refused_by_their_deadline_only(
    changes: dict[str, object],
) -> None:
    """Guards against early refusals of requests without a goal, and of streams.

    A stream that goes on at one version is lost if it's refused.
    """
    found = admitting()
    waiting = found.wait(dispatching.ticket(**changes), dispatching.instant(0.0))
    refuses = found.admission.is_refused
    assert not refuses(waiting, 5.0, -1.0, dispatching.instant(0.0))
    assert refuses(waiting, 50.0, -1.0, dispatching.instant(0.0))


def test_a_ticket_waits_for_a_server_to_come() -> None:
    """Guards against refusals at the goal while the only server is being replaced."""
    found = admitting()
    found.configure(dispatching.cell(), dispatching.instant(0.0))
    ticket = dispatching.ticket(goal=0.6, remaining=8.0)
    found.enqueue(ticket, dispatching.instant(0.0))
    assert not dispatching.refused(found.tick(dispatching.instant(3.0)))


def test_a_higher_tier_is_served_before_a_lower_one_is_admitted() -> None:
    """Guards against refusals of a higher tier while lower tiers are served."""
    play = builders.Play(admitting())
    play.add_poisson(1.5 * builders.CAPACITY, 0.0, 10.0, 1, tier=1)
    play.add_poisson(0.7 * builders.CAPACITY, 0.0, 10.0, 2, tier=0)
    play.run(20.0)
    high = [request for request in play.requests if request.tier == 0]
    assert all(request.is_in_time for request in high)
