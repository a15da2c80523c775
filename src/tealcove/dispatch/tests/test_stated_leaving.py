"""Backend servers whose answers say that they leave."""

from __future__ import annotations

import math

import msgspec

from tealcove import clock, ids
from tealcove.dispatch import goal, messages, statements, waitingticket
from tealcove.dispatch.tests import askers, builders
from tealcove.resources import kinds

LEAVING = statements.Statement(is_leaving=True)
STEP = 0.05


def leave(found: goal.GoalScheduler, server: str, at: float = 0.0) -> list:
    """Apply that a server's answer to an entry said that it leaves."""
    stated = builders.statement(server, is_leaving=True)
    return found.apply_statement(builders.ENTRY, stated, builders.instant(at))


def refused_at(found: goal.GoalScheduler, until: float) -> float | None:
    """Return when the first waiting ticket is refused."""
    for step in range(round(until / STEP)):
        at = step * STEP
        if builders.refused(found.tick(builders.instant(at))):
            return at
    return None


def test_no_entry_is_granted_a_server_that_leaves() -> None:
    """Only the instance that was told stopped sending requests to a leaving server."""
    found = builders.goal_scheduler(1, 1)
    leave(found, "s0")
    now = builders.instant(0.1)
    grants = []
    for entry in ("entry-0", "entry-1", "entry-2"):
        ticket = builders.ticket(entry=ids.InstanceId(entry))
        for grant in builders.granted(found.enqueue(ticket, now)):
            grants.append(grant.server)
            found.done(builders.done(grant), now)
    assert grants == ["s1"] * 3


def test_a_ticket_may_return_to_the_only_server_that_stays() -> None:
    """A ticket waited in vain, with a free server that had turned it away once."""
    found = builders.goal_scheduler(1, 1)
    leave(found, "s0")
    ticket = builders.ticket(excluded=(ids.BackendServerId("s1"),))
    (grant,) = builders.granted(found.enqueue(ticket, builders.instant(0.1)))
    assert grant.server == "s1"


def test_callers_wait_for_no_server_beyond_their_goal() -> None:
    """Callers waited until their deadlines while all servers were leaving."""
    found = builders.goal_scheduler(1)
    leave(found, "s0")
    found.enqueue(builders.ticket(goal=0.5, remaining=30.0), builders.instant(0.0))
    assert refused_at(found, 5.0) <= 0.5 + goal.REVIEW_INTERVAL + STEP


def test_callers_without_a_goal_wait_for_no_server_for_long() -> None:
    """Without a goal, callers waited until their deadlines."""
    found = builders.goal_scheduler(1)
    leave(found, "s0")
    found.enqueue(builders.ticket(remaining=30.0), builders.instant(0.0))
    refused = refused_at(found, 5.0)
    assert refused <= waitingticket.NO_SERVER_SECONDS + 2 * STEP


def test_callers_are_told_that_there_is_no_server() -> None:
    """Callers were told of an overload, to come back at once."""
    found = builders.goal_scheduler(1)
    leave(found, "s0")
    found.enqueue(builders.ticket(goal=0.5), builders.instant(0.0))
    (refusal,) = builders.refused(found.tick(builders.instant(1.0)))
    assert refusal.reason is messages.RefusalReason.NO_BACKEND_SERVER
    assert refusal.retry_after >= waitingticket.NO_SERVER_SECONDS


def test_callers_wait_for_the_successor_of_a_listed_server_that_leaves() -> None:
    """Callers were refused although a new server was about to be listed."""
    found = goal.GoalScheduler()
    spec = builders.server("s0", 1, state=kinds.ServerState.LEAVING)
    found.configure(builders.cell(spec), builders.instant(0.0))
    leave(found, "s0")
    found.enqueue(builders.ticket(goal=0.5, remaining=30.0), builders.instant(0.0))
    assert refused_at(found, 5.0) is None


def test_the_next_start_of_a_server_is_used() -> None:
    """A statement of an earlier start kept the next one out of service."""
    found = builders.goal_scheduler(1)
    leave(found, "s0")
    spec = builders.server("s0", 1, start=ids.ServerStart(2))
    found.configure(builders.cell(spec), builders.instant(1.0))
    leave(found, "s0", 2.0)
    ticket = builders.ticket()
    assert builders.granted(found.enqueue(ticket, builders.instant(3.0)))


async def told(asking: askers.Asking) -> messages.Grant:
    """Let an answer to another request say that a server leaves."""
    await asking.asked(asking.first, 1)
    asking.queue_at(asking.first)
    grant = asking.grant("s")
    other = asking.another_pending_ticket()
    other.dispatcher = asking.first
    asking.requester.record_statement(other, grant, LEAVING, clock.now())
    return grant


async def test_a_grant_on_its_way_is_not_used(asking: askers.Asking) -> None:
    """A request was sent to a server that had just said that it leaves."""
    await told(asking)
    before = asking.returned_to(asking.first)
    asking.grant_from(asking.first, "s")
    assert not asking.pending_ticket.answer.done()
    assert asking.returned_to(asking.first) == before + 1
    ticket = asking.mesh.to(asking.port(asking.first), messages.Ticket)[-1].content
    assert [(s.server, s.is_leaving) for s in ticket.statements] == [("s", True)]
    asking.grant_from(asking.first, "t")
    assert (await asking.obtaining).server == "t"


async def test_a_dispatcher_that_insists_ends_the_wait(asking: askers.Asking) -> None:
    """With a dispatcher of the version before, grants were declined without end."""
    await told(asking)
    asking.grant_from(asking.first, "s")
    asking.grant_from(asking.first, "s")
    refusal = await asking.obtaining
    assert refusal.reason is messages.RefusalReason.NO_BACKEND_SERVER


async def test_dispatchers_are_told_once(asking: askers.Asking) -> None:
    """Each answer of a leaving server cost a message to its dispatcher."""
    grant = await told(asking)
    other = asking.another_pending_ticket()
    other.dispatcher = asking.first
    asking.requester.record_statement(other, grant, LEAVING, clock.now())
    sent = asking.mesh.to(asking.port(asking.first), messages.StatementReport)
    assert [one.content.stated.is_leaving for one in sent] == [True]


def test_a_server_stays_left_when_dispatchers_are_no_longer_told() -> None:
    """After a minute without answers, a leaving server got requests again."""
    known = statements.Statements()
    pool = ids.PoolId("engines")
    grant = askers.grant("s")
    known.record(pool, grant, LEAVING, builders.instant(0.0))
    late = builders.instant(statements.KEPT_SECONDS + 1.0)
    assert known.of_pool(pool, late) == ()
    assert known.usable_in(grant, late) == math.inf
    known.repeat_leaving(pool, grant, late)
    (stated,) = known.of_pool(pool, late)
    assert stated.is_leaving
    restarted = msgspec.structs.replace(grant, start=ids.ServerStart(2))
    assert known.usable_in(restarted, late) == 0.0
