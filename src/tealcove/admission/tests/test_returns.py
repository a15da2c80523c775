"""Promised returns: how many callers are refused twice, and who goes first."""

from __future__ import annotations

import msgspec
import pytest

from tealcove import ids
from tealcove.admission import policy
from tealcove.admission.tests import builders
from tealcove.dispatch import accountshares, admission, goal, messages, waitingticket
from tealcove.dispatch.tests import builders as dispatching

# The load on the servers beside a burst, and the load within it, from 5 to 8 s.
BASE_LOAD = 0.3
BURST_LOAD = 2.0
BURST = (5.0, 8.0)


class AdmitWithoutPlan(policy.AdmitByGoal):
    """Refuses at once, and tells callers the forecast time, without promises."""

    def retry_after(
        self,
        waiting: waitingticket.Waiting,
        seconds: float,
        now: ids.Instant,
        least: float = 0.0,
    ) -> float:
        return admission.BY_DEADLINE.retry_after(waiting, seconds, now, least)


def admitting(chosen: policy.AdmitByGoal) -> goal.GoalScheduler:
    found = dispatching.goal_scheduler(*builders.SERVERS)
    found.use_admission(chosen)
    return found


def burst(chosen: policy.AdmitByGoal, seed: int) -> builders.Play:
    """Play a burst of 3 s; callers return once."""
    play = builders.Play(admitting(chosen), returns=1)
    capacity = builders.CAPACITY
    play.add_poisson(BASE_LOAD * capacity, 0.0, 20.0, seed)
    play.add_poisson((BURST_LOAD - BASE_LOAD) * capacity, *BURST, seed + 100)
    play.run(30.0)
    return play


@pytest.mark.parametrize("seed", builders.SEEDS)
@pytest.mark.parametrize("load", [1.2, 2.0])
def test_the_plan_lets_fewer_be_refused_twice(load: float, seed: int) -> None:
    """Guards against callers that all return at once, only to be refused again.

    Returns also must not displace more than a small part of the requests in time.
    """
    plan = builders.overload(admitting(policy.AdmitByGoal()), load, seed, returns=1)
    without = builders.overload(admitting(AdmitWithoutPlan()), load, seed, returns=1)
    assert plan.refused_twice() < without.refused_twice()
    possible = builders.CAPACITY * builders.RUN_SECONDS
    assert plan.in_time() >= 0.94 * possible


@pytest.mark.parametrize("seed", builders.SEEDS)
def test_callers_refused_in_a_burst_come_back_spread_and_are_served(seed: int) -> None:
    """Guards against a second burst of those that were refused in the first.

    Without a plan three quarters and more of the refused were refused twice.
    """
    play = burst(policy.AdmitByGoal(), seed)
    refused = [request for request in play.requests if request.refusals]
    served = [request for request in refused if request.granted_at is not None]
    without = burst(AdmitWithoutPlan(), seed)
    assert len(served) >= 0.65 * len(refused)
    assert play.refused_twice() < 0.5 * without.refused_twice()
    returned_at = sorted(play.sent_at[one.tickets[1].ticket_id] for one in refused)
    # Within any second no more come back than the servers complete in 1.5 s.
    most = int(1.5 * builders.CAPACITY)
    for first, last in zip(returned_at, returned_at[most:], strict=False):
        assert last - first > 1.0


def test_a_caller_is_told_at_most_a_third_of_its_time() -> None:
    """Guards against promises of times for which the caller doesn't wait."""
    play = builders.overload(admitting(policy.AdmitByGoal()), 3.0, 1, seconds=10.0)
    for request in play.requests:
        for at, _, wait in request.refusals:
            left = request.arrived + builders.REMAINING_SECONDS - at
            assert 0.0 < wait <= left * builders.RETURN_SHARE + 1e-6


def busy(chosen: policy.AdmitByGoal, until: float) -> builders.Play:
    """Play a steady overload, with which no late request starts unless promised."""
    play = builders.Play(admitting(chosen))
    play.add_poisson(2.0 * builders.CAPACITY, 0.0, until, 1)
    return play


@pytest.mark.parametrize(("factor", "is_served"), [(1.0, True), (0.5, False)])
def test_who_keeps_its_time_goes_before_who_does_not(
    factor: float, is_served: bool
) -> None:
    """Guards against a gain for callers that return before their time.

    If all early returns were served like those in time, callers would best ignore what
    they are told.
    """
    counted = []
    play = busy(policy.AdmitByGoal(), 15.0)
    play.returns = 1

    def keeps(request: builders.Request, wait: float) -> float:
        is_counted = 5.0 <= request.refusals[-1][0] < 10.0
        if is_counted and is_promised(play, request):
            counted.append(request)
            return wait * factor
        return 100.0

    play.keeps = keeps
    play.run(20.0)
    served = [request for request in counted if request.granted_at is not None]
    assert len(counted) > 10
    assert len(served) >= 0.9 * len(counted) if is_served else not served


def is_promised(play: builders.Play, request: builders.Request) -> bool:
    """Tell whether the return of a request that was just refused is promised."""
    now = dispatching.instant(request.refusals[-1][0])
    attempts = play.scheduler.attempts
    ticket = request.tickets[0]
    left = builders.REMAINING_SECONDS - (request.refusals[-1][0] - request.arrived)
    updated = msgspec.structs.replace(ticket, caller_remaining=left)
    found = attempts.find(updated, now)
    return found is not None and found.promised_at is not None


def test_returns_do_not_displace_a_higher_tier() -> None:
    """Guards against promises to a lower tier that cost a higher one its slots."""
    play = builders.Play(admitting(policy.AdmitByGoal()), returns=1)
    play.add_poisson(1.5 * builders.CAPACITY, 0.0, 10.0, 1, tier=1)
    play.add_poisson(0.7 * builders.CAPACITY, 0.0, 10.0, 2, tier=0)
    play.run(20.0)
    high = [request for request in play.requests if request.tier == 0]
    assert all(request.is_in_time for request in high)


def test_no_lower_tier_is_served_while_a_higher_one_is_refused() -> None:
    """Guards against returns of a lower tier that take slots from a full higher one."""
    play = builders.Play(admitting(policy.AdmitByGoal()), returns=1)
    play.add_poisson(1.5 * builders.CAPACITY, 0.0, 10.0, 1, tier=1)
    play.add_poisson(1.5 * builders.CAPACITY, 0.0, 10.0, 2, tier=0)
    play.run(10.0)
    refused_at = [
        at for one in play.requests if one.tier == 0 for at, _, _ in one.refusals
    ]
    low_at = [
        one.granted_at
        for one in play.requests
        if one.tier == 1 and one.granted_at is not None
    ]
    assert len(refused_at) > 100
    assert not any(at > min(refused_at) for at in low_at)


def test_a_kept_promise_is_not_refused_for_a_deadline_that_it_meets() -> None:
    """Guards against forecasts that let arriving work go before a kept promise.

    Under overload they are ten times as long as the line, beyond the deadline of a
    caller with 2 s left, although the return goes first.
    """
    found = dispatching.goal_scheduler(1)
    found.use_admission(policy.AdmitByGoal())
    now = dispatching.instant(0.0)
    running = dispatching.ticket(tier_rank=0)
    assert dispatching.granted(found.enqueue(running, now))
    for number in range(20):
        found.wait(dispatching.ticket(tier_rank=0, digest=f"other-{number}"), now)
    found.restore_returns((promised_return(),), now)
    ticket = dispatching.ticket(
        tier_rank=0, digest="d", goal=0.6, remaining=3.0, caller_remaining=3.0
    )
    assert not dispatching.refused(found.enqueue(ticket, now))


def promised_return() -> messages.PromisedReturn:
    """Return a promise that is due now."""
    return messages.PromisedReturn(
        digest="d",
        prompt_tokens=100,
        output_tokens=100,
        tier_rank=0,
        urgency=0,
        account=ids.AccountId("account-0"),
        slot_seconds=builders.TOTAL_SECONDS,
        ends_in=3.0,
        goal_in=-1.0,
        due_in=0.0,
    )


class OneIsOver(accountshares.NoAccountShares):
    """One account uses more than its share, for some seconds to come."""

    def standing(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> accountshares.Standing:
        is_over = ticket.account == "large"
        return accountshares.Standing(is_over, 1.0 if is_over else 0.0)


def test_accounts_within_their_share_return_first() -> None:
    """Guards against the earliest return times going to those that cause the load.

    All are refused in one forecast, those of the large account ahead of the others.
    """
    chosen = policy.AdmitByGoal()
    found = admitting(chosen)
    now = dispatching.instant(0.0)
    chosen.observe(builders.SLOTS, found.inflow, now)
    refused = [
        (found.wait(returning(account, number), now), 0.3)
        for account in ("large", "small")
        for number in range(10)
    ]
    waits: dict[str, list[float]] = {"large": [], "small": []}
    for waiting, seconds, least in admission.in_fair_order(refused, OneIsOver(), now):
        wait = chosen.retry_after(waiting, seconds, now, least)
        waits[waiting.ticket.account].append(wait)
    assert max(waits["small"]) <= min(waits["large"])
    assert min(waits["large"]) >= 1.0


def returning(account: str, number: int) -> messages.Ticket:
    """Return a ticket whose caller can return."""
    return dispatching.ticket(
        account=ids.AccountId(account),
        goal=builders.GOAL_SECONDS,
        caller_remaining=builders.REMAINING_SECONDS,
        digest=f"digest-{account}-{number}",
    )
