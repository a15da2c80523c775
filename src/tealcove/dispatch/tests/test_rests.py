"""Backend servers that want no requests from an instance for a while."""

from __future__ import annotations

import math

import pytest

from tealcove import clock, ids
from tealcove.dispatch import goal, messages, releases, statements, waitingline
from tealcove.dispatch.tests import askers, builders

TOLD = ids.InstanceId("entry-told")
OTHER = ids.InstanceId("entry-other")
POOL = ids.PoolId("engines")
REST = 3.0
STEP = 0.05


def rest(
    found: goal.GoalScheduler,
    server: str,
    at: float = 0.0,
    seconds: float = REST,
    entry: ids.InstanceId = TOLD,
) -> None:
    """Apply that a server wants no requests from an entry."""
    stated = builders.statement(server, rest=seconds)
    found.apply_statement(entry, stated, builders.instant(at))


def ask(
    found: goal.GoalScheduler, at: float, entry: ids.InstanceId, **changes: object
) -> list:
    """Send a ticket, and return the outgoing messages."""
    ticket = builders.ticket(entry=entry, **changes)
    return found.enqueue(ticket, builders.instant(at))


def granted_server(outgoing: list) -> list[str]:
    """Return the servers of the grants among messages."""
    return [grant.server for grant in builders.granted(outgoing)]


def test_only_the_entry_that_was_told_keeps_the_rest() -> None:
    """A server that rejected one instance got no requests of any."""
    found = builders.goal_scheduler(2)
    rest(found, "s0")
    assert granted_server(ask(found, 0.1, TOLD)) == []
    assert granted_server(ask(found, 0.2, OTHER)) == ["s0"]


def test_a_rest_ends_by_itself() -> None:
    """A server that had rejected requests once stayed without work."""
    found = builders.goal_scheduler(1)
    rest(found, "s0")
    assert granted_server(ask(found, REST - 0.1, TOLD)) == []
    (grant,) = builders.granted(found.tick(builders.instant(REST + 0.01)))
    assert grant.server == "s0"


def test_a_shorter_rest_does_not_end_a_longer_one() -> None:
    """Rejections that arrived out of order ended a rest early."""
    found = builders.goal_scheduler(1)
    rest(found, "s0")
    rest(found, "s0", 0.5, 0.5)
    assert granted_server(ask(found, 2.0, TOLD)) == []


def test_servers_that_work_go_before_those_that_reject() -> None:
    """Other instances were rejected by a server that had just rejected one."""
    found = builders.goal_scheduler(4, 4)
    rest(found, "s0")
    servers = [granted_server(ask(found, 0.1, OTHER)) for _ in range(5)]
    assert servers == [["s1"]] * 4 + [["s0"]]


def test_a_server_that_rejects_is_tried_by_one_request_at_a_time() -> None:
    """Each instance sent as many requests as there were slots, to be rejected."""
    found = builders.goal_scheduler(4)
    rest(found, "s0")
    first = ask(found, 0.1, OTHER)
    assert granted_server(first) == ["s0"]
    assert granted_server(ask(found, 0.2, OTHER)) == []
    (grant,) = builders.granted(first)
    progress = messages.Progress(
        ticket_id=grant.ticket_id, cell=builders.CELL, first_token_seconds=0.1
    )
    found.progress(progress, builders.instant(0.3))
    outgoing = found.tick(builders.instant(0.4))
    outgoing += ask(found, 0.5, OTHER)
    assert granted_server(outgoing) == ["s0", "s0"]


def test_a_request_from_before_does_not_show_that_a_server_takes_more() -> None:
    """The end of an older request let a server that rejects get four more."""
    found = builders.goal_scheduler(4)
    (grant,) = builders.granted(ask(found, 0.0, OTHER))
    rest(found, "s0", 0.5)
    found.done(builders.done(grant), builders.instant(1.0))
    assert granted_server(ask(found, 1.1, OTHER)) == ["s0"]
    assert granted_server(ask(found, 1.2, OTHER)) == []


def test_a_ticket_may_return_to_the_only_server_that_wants_it() -> None:
    """A ticket waited for a server at rest, with one free that had rejected it."""
    found = builders.goal_scheduler(1, 1)
    rest(found, "s0")
    excluded = (ids.BackendServerId("s1"),)
    assert granted_server(ask(found, 0.1, TOLD, excluded=excluded)) == ["s1"]


@pytest.mark.parametrize(
    ("goal_seconds", "seconds", "waits"),
    [(1.0, 0.5, True), (1.0, 3.0, False), (0.0, 3.0, True), (0.0, 60.0, False)],
)
def test_callers_wait_for_a_rest_only_if_it_ends_in_time(
    goal_seconds: float, seconds: float, waits: bool
) -> None:
    """Callers waited until their deadlines for servers that all were at rest."""
    found = builders.goal_scheduler(2, 2)
    rest(found, "s0", seconds=seconds + 1.0)
    rest(found, "s1", seconds=seconds)
    outgoing = ask(found, 0.0, TOLD, goal=goal_seconds)
    refused = builders.refused(outgoing)
    assert bool(refused) is not waits
    if refused:
        assert refused[0].retry_after >= min(seconds, 5.0)


def test_a_late_caller_waits_for_a_server_that_is_not_at_rest() -> None:
    """Callers of a service with one server at rest were refused at once."""
    found = builders.goal_scheduler(1, 1)
    ask(found, 0.0, OTHER)
    ask(found, 0.0, OTHER)
    rest(found, "s0", 0.1, 20.0)
    outgoing = ask(found, 0.2, TOLD, goal=0.01, remaining=30.0)
    assert builders.refused(outgoing) == []


def test_the_next_process_of_an_entry_is_not_bound() -> None:
    """An instance that was killed and started again stayed without a server."""
    found = builders.goal_scheduler(1)
    rest(found, "s0", seconds=600.0)
    found.lose_entry(TOLD, builders.instant(1.0))
    assert granted_server(ask(found, 1.1, TOLD)) == ["s0"]


def test_a_slot_at_rest_is_forecast_for_others() -> None:
    """A rest for one instance made the forecasts of all later."""
    found = builders.goal_scheduler(1, 1)
    rest(found, "s0")
    now = builders.instant(0.0)
    views = found.views.servers.values()
    queued = releases.Releases(waitingline.slot_releases(views, now))
    first = queued.first(TOLD)
    assert (first.release.server.name, first.at) == ("s1", now)
    queued.use(first, now + 10.0)
    second = queued.first(TOLD)
    assert (second.release.server.name, second.at) == ("s0", now + REST)
    queued.pass_over(second)
    assert (queued.first(OTHER).release.server.name, len(queued)) == ("s0", 2)


async def test_a_grant_on_its_way_is_not_used(asking: askers.Asking) -> None:
    """A request was sent to a server that had just rejected another one."""
    await asking.asked(asking.first, 1)
    asking.queue_at(asking.first)
    other = asking.another_pending_ticket()
    other.dispatcher = asking.first
    said = statements.Statement(rest=REST)
    asking.requester.record_statement(other, asking.grant("s"), said, clock.now())
    asking.grant_from(asking.first, "s")
    assert not asking.pending_ticket.answer.done()
    ticket = asking.mesh.to(asking.port(asking.first), messages.Ticket)[-1].content
    (stated,) = ticket.statements
    assert 0.0 < stated.rest <= REST
    asking.grant_from(asking.first, "s")
    refusal = await asking.obtaining
    assert 0.0 < refusal.retry_after <= REST


def test_a_rest_is_told_to_dispatchers_until_it_ends() -> None:
    """A new dispatcher granted servers that had asked for rest."""
    known = statements.Statements()
    grant = askers.grant("s")
    said = statements.Statement(rest=REST)
    assert known.record(POOL, grant, said, builders.instant(0.0)).rest == REST
    (stated,) = known.of_pool(POOL, builders.instant(1.0))
    assert stated.rest == pytest.approx(REST - 1.0)
    assert known.usable_in(grant, builders.instant(1.0)) == pytest.approx(REST - 1.0)
    assert known.of_pool(POOL, builders.instant(REST)) == ()
    assert known.usable_in(grant, builders.instant(REST)) == 0.0


def test_a_rest_does_not_carry_an_old_limit() -> None:
    """A limit that was stated long ago was told to a new dispatcher."""
    known = statements.Statements()
    grant = askers.grant("s")
    limit = statements.Statement(limit=statements.RequestLimit(1.7))
    known.record(POOL, grant, limit, builders.instant(0.0))
    late = builders.instant(statements.KEPT_SECONDS + 1.0)
    stated = known.record(POOL, grant, statements.Statement(rest=REST), late)
    assert (stated.rate, stated.age, stated.rest) == (None, math.inf, REST)
