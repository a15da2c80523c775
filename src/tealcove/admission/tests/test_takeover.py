"""Promised returns when another dispatcher takes over."""

from __future__ import annotations

import pytest

from tealcove import clock, ids
from tealcove.admission import entrypromises, keptreturns, policy
from tealcove.admission.tests import builders
from tealcove.dispatch import awaitedreturns, goal, messages, notices, role
from tealcove.dispatch.tests import askers, transport
from tealcove.dispatch.tests import builders as dispatching
from tealcove.membership import members
from tealcove.membership import messages as membership
from tealcove.membership.tests import builders as membership_builders

DEATH = 10.0
LOAD = 2.0
WORK = 0.5


def admitting() -> goal.GoalScheduler:
    found = dispatching.goal_scheduler(*builders.SERVERS)
    found.use_admission(policy.AdmitByGoal())
    return found


def play_death(seed: int, is_informed: bool) -> builders.Play:
    """Play an overload in which the dispatcher dies; callers return once."""
    play = builders.Play(admitting(), returns=1)
    play.add_poisson(LOAD * builders.CAPACITY, 0.0, 16.0, seed)
    play.at(DEATH, lambda now: play.replace(admitting(), now, is_informed))
    play.run(16.0)
    return play


def promised_across(play: builders.Play) -> list[builders.Request]:
    """Return the requests whose promised return came after the dispatcher's death."""
    return [
        one
        for one in play.requests
        if one.promised_at is not None
        and one.refusals[0][0] < DEATH < one.promised_at
        and len(one.tickets) > 1
    ]


@pytest.mark.parametrize("seed", builders.SEEDS)
def test_promises_hold_across_the_death_of_their_dispatcher(seed: int) -> None:
    """Guards against callers that are refused again since their dispatcher died."""
    promised = promised_across(play_death(seed, is_informed=True))
    assert len(promised) >= 5
    assert not any(len(one.refusals) > 1 for one in promised)


def test_returns_are_refused_if_the_new_dispatcher_is_not_informed() -> None:
    """Shows that the test above depends on what the entries send."""
    refused = 0
    for seed in builders.SEEDS:
        promised = promised_across(play_death(seed, is_informed=False))
        refused += sum(len(one.refusals) > 1 for one in promised)
    assert refused > 0


def test_a_gathering_dispatcher_refuses_nothing() -> None:
    """Guards against refusals by a dispatcher that doesn't know the promises yet."""
    play = play_death(1, is_informed=False)
    refused_at = [at for one in play.requests for at, _, _ in one.refusals]
    until = DEATH + builders.GATHER_SECONDS
    assert not any(DEATH <= at < until for at in refused_at)


def promised_return(**changes: object) -> messages.PromisedReturn:
    found = {
        "digest": "d",
        "prompt_tokens": 100,
        "output_tokens": 100,
        "tier_rank": 1,
        "urgency": 0,
        "account": ids.AccountId("account-0"),
        "slot_seconds": WORK,
        "ends_in": 6.0,
        "goal_in": -0.2,
        "due_in": 1.0,
    }
    return messages.PromisedReturn(**{**found, **changes})


def test_a_return_that_was_moved_while_it_waited_keeps_its_promise() -> None:
    """Guards against returns that wait at a dispatcher when it dies, and are late.

    The ticket reaches the new dispatcher more than a second after the promised time.
    """
    found = admitting()
    found.restore_returns((promised_return(),), dispatching.instant(0.0))
    ticket = dispatching.ticket(
        goal=0.6, digest="d", caller_remaining=5.0, waited=1.5, remaining=3.5
    )
    assert found.wait(ticket, dispatching.instant(2.5)).keeps_promise


def test_a_return_that_arrives_before_its_promise_keeps_it() -> None:
    """Guards against returns that overtake the message which tells of them."""
    found = admitting()
    now = dispatching.instant(0.0)
    found.gather(dispatching.instant(1.0))
    ticket = dispatching.ticket(goal=0.6, digest="d", caller_remaining=6.0)
    found.enqueue(ticket, now)
    found.restore_returns((promised_return(due_in=0.0),), now)
    (waiting,) = found.line.values()
    assert waiting.keeps_promise


def test_nothing_is_refused_early_while_promises_may_arrive() -> None:
    """Guards against refusals of returns that another dispatcher has promised.

    After a partition a caller may return before the entry that refused it has told the
    dispatcher of its promise.
    """
    found = admitting()
    chosen = found.admission
    now = dispatching.instant(0.0)
    late = found.wait(dispatching.ticket(goal=0.6, remaining=6.0), now)
    assert chosen.is_refused(late, 2.0, -1.0, now)
    chosen.expect_returns(dispatching.instant(0.5))
    assert not chosen.is_refused(late, 2.0, -1.0, dispatching.instant(0.4))
    assert chosen.is_refused(late, 7.0, -1.0, dispatching.instant(0.4))
    assert chosen.is_refused(late, 2.0, -1.0, dispatching.instant(0.6))


def test_a_promise_that_is_known_is_not_reserved_again() -> None:
    """Guards against a plan filled by several entries that send the same promise."""
    found = admitting()
    for _ in range(3):
        found.restore_returns((promised_return(),), dispatching.instant(0.0))
    assert sum(found.admission.plan.reserved[1].values()) == WORK


def test_entries_are_told_of_the_returns_that_a_new_dispatcher_awaits() -> None:
    """Guards against entries that refuse a return which the last dispatcher promised.

    The notices of the new one named its own promises alone.
    """
    found = admitting()
    chosen = found.admission
    found.restore_returns((promised_return(due_in=0.2),), dispatching.instant(0.0))
    for _ in range(10):
        refused = dispatching.ticket(takes_notices=True)
        chosen.noticing.flows.record_refusal(refused, False, dispatching.instant(0.0))
    ((flow,),) = chosen.notices(False, dispatching.instant(0.1)).values()
    assert flow.returning == (notices.mark_of("d"),)
    returned = dispatching.ticket(
        goal=0.6, digest="d", caller_remaining=5.8, remaining=5.8
    )
    waiting = found.wait(returned, dispatching.instant(0.2))
    chosen.record_arrival(waiting, dispatching.instant(0.2))
    ((flow,),) = chosen.notices(False, dispatching.instant(0.4)).values()
    assert flow.returning == ()


def test_promises_are_kept_until_a_second_after_they_are_due() -> None:
    """Guards against promises that are lost early, and against their pile-up."""
    kept = keptreturns.KeptReturns()
    first, other = (ids.InstanceId("i-0"), None), (ids.InstanceId("i-1"), None)
    kept.add(dispatching.CELL, promised_return(), first, dispatching.instant(0.0))
    assert not kept.hand_over(dispatching.CELL, first, dispatching.instant(0.5))
    (sent,) = kept.hand_over(dispatching.CELL, other, dispatching.instant(1.5))
    assert sent.due_in == pytest.approx(-0.5)
    assert not kept.hand_over(dispatching.CELL, other, dispatching.instant(1.6))
    kept.expire(dispatching.instant(2.1))
    assert not kept.by_cell


def test_a_standby_keeps_promises_until_it_takes_over() -> None:
    """Guards against promises that come late since their entry heard of no death."""
    awaited = awaitedreturns.AwaitedReturns()
    returns = (promised_return(), promised_return(due_in=-0.5))
    awaited.add(dispatching.CELL, returns, dispatching.instant(0.0))
    (found,) = awaited.take(dispatching.CELL, dispatching.instant(0.75))
    assert found.due_in == pytest.approx(0.25)
    assert awaited.take(dispatching.CELL, dispatching.instant(0.75)) == ()


async def test_an_entry_sends_promises_before_the_ticket(
    asking: askers.Asking,
) -> None:
    """Guards against tickets that a new dispatcher refuses before it is informed."""
    found = entrypromises.EntryPromises(asking.mesh, asking.members)
    asking.requester.promises = found
    asking.pending_ticket.ticket = dispatching.ticket(
        ticket_id=asking.pending_ticket.ticket.ticket_id,
        cell=askers.CELL,
        digest="d",
        caller_remaining=5.0,
    )
    await asking.asked(asking.first, 1)
    refusal = messages.Refusal(
        ticket_id=asking.pending_ticket.ticket.ticket_id,
        reason=messages.RefusalReason.OVERLOAD,
        retry_after=1.0,
        promised_seconds=WORK,
    )
    asking.requester.handle_refusal(asking.first, refusal)
    # The instance that would take over is told at once.
    second = asking.port(asking.second)
    assert len(asking.mesh.to(second, messages.PromisedReturns)) == 1
    asking.requester.ask(asking.another_pending_ticket(), asking.second, clock.now())
    kinds = [
        type(sent.content)
        for sent in asking.mesh.sent
        if sent.port == second and not isinstance(sent.content, messages.Withdrawal)
    ]
    assert kinds[-2:] == [messages.PromisedReturns, messages.Ticket]
    first = asking.port(asking.first)
    assert not asking.mesh.to(first, messages.PromisedReturns)


async def test_an_entry_that_leaves_sends_all_promises_ahead(
    asking: askers.Asking,
) -> None:
    """Guards against promises beyond the rate that end with their only entry."""
    found = entrypromises.EntryPromises(asking.mesh, asking.members)
    second = asking.port(asking.second)

    def told() -> int:
        sent = asking.mesh.to(second, messages.PromisedReturns)
        return sum(len(one.content.returns) for one in sent)

    for number in range(10):
        promised = promised_return(digest=str(number))
        found.keep(askers.CELL, promised, asking.first, clock.now())
    assert told() == entrypromises.MAX_AHEAD
    asking.members.update_own(lifecycle=membership.Lifecycle.LEAVING)
    found.reassign(clock.now())
    assert told() == 10
    found.keep(askers.CELL, promised_return(), asking.first, clock.now())
    assert told() == 11


async def test_a_promise_is_not_sent_ahead_to_its_own_entry() -> None:
    """Guards against two copies of a promise that end with the same process."""
    known = members.Members(
        membership_builders.heartbeat(0), suspect_after=1000.0, forget_after=2000.0
    )
    candidates = [membership_builders.heartbeat(number) for number in range(1, 100)]
    first = next(one for one in candidates if ranked_first(known.own, one))
    last = next(one for one in candidates if not ranked_first(known.own, one))
    for one in (first, last):
        known.record_heartbeat(one, clock.now())
    sent = transport.RecordingMesh()
    found = entrypromises.EntryPromises(sent, known)
    found.keep(dispatching.CELL, promised_return(), first.instance, clock.now())
    assert (
        len(sent.to(last.endpoint.port, messages.PromisedReturns))
        == len(sent.sent)
        == 1
    )


async def test_a_promise_outlives_all_who_told_it() -> None:
    """Guards against promises that end with the last instance that sent them.

    The next in rank was told; when another instance becomes the dispatcher, neither
    the entry nor the former dispatcher may be left to inform it.
    """
    known = members.Members(
        membership_builders.heartbeat(0), suspect_after=1000.0, forget_after=2000.0
    )
    told = transport.RecordingMesh()
    standby = role.Dispatcher(
        told,
        known,
        lambda cell: None,
        goal.GoalScheduler,
        None,
        0.0,
        new_admission=policy.AdmitByGoal,
    )
    standby.start()
    sender = ids.InstanceId("gone")
    sent = messages.PromisedReturns(cell=dispatching.CELL, returns=(promised_return(),))
    standby.handle_promises(sender, sent)
    assert not told.sent
    number = next(
        number
        for number in range(1, 100)
        if ranked_first(known.own, membership_builders.heartbeat(number))
    )
    first = membership_builders.heartbeat(number)
    known.record_heartbeat(first, clock.now())
    (passed_on,) = told.to(first.endpoint.port, messages.PromisedReturns)
    (found,) = passed_on.content.returns
    assert found.digest == promised_return().digest
    await standby.stop()


def ranked_first(own: membership.Heartbeat, other: membership.Heartbeat) -> bool:
    """Tell whether an instance is the dispatcher rather than this one."""
    known = members.Members(own, suspect_after=1000.0, forget_after=2000.0)
    known.record_heartbeat(other, clock.now())
    return known.rank(dispatching.CELL, clock.now())[0] == other.instance


async def test_a_dispatcher_that_takes_over_restores_what_it_was_sent() -> None:
    """Guards against promises that arrive before the first ticket of their cell."""
    known = members.Members(
        membership_builders.heartbeat(0), suspect_after=1000.0, forget_after=2000.0
    )
    sender = membership_builders.heartbeat(1)
    known.record_heartbeat(sender, clock.now())
    serving = role.Dispatcher(
        transport.RecordingMesh(),
        known,
        lambda cell: dispatching.cell(dispatching.server("s0")),
        goal.GoalScheduler,
        None,
        0.0,
        new_admission=policy.AdmitByGoal,
    )
    serving.start()
    returns = messages.PromisedReturns(
        cell=dispatching.CELL, returns=(promised_return(),)
    )
    serving.handle_promises(sender.instance, returns)
    ticket = dispatching.ticket(entry=sender.instance, waited=1.0)
    serving.handle_ticket(sender.instance, ticket)
    (held,) = serving.held.values()
    assert held.scheduler.attempts.count == 1
    await serving.stop()
