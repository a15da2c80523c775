"""Backend servers that name a limit on the requests from all instances."""

from __future__ import annotations

import msgspec
import pytest

from tealcove import ids
from tealcove.dispatch import goal, messages, requestrate, statements, waitingline
from tealcove.dispatch.tests import builders

SERVER = ids.BackendServerId("s0")
POOL = ids.PoolId("engines")
STEP = 0.05


def apply(
    found: goal.GoalScheduler, rate: float | None, at: float, age: float = 0.0
) -> None:
    stated = builders.statement(SERVER, rate=rate, age=age)
    found.apply_statement(builders.ENTRY, stated, builders.instant(at))


def play(found: goal.GoalScheduler, since: float, seconds: float) -> list[float]:
    """Keep the line full, end each request at once, and return the grants' times."""
    granted = []
    for step in range(round(seconds / STEP)):
        at = since + step * STEP
        now = builders.instant(at)
        outgoing = found.enqueue(builders.ticket(), now)
        outgoing += found.tick(now)
        for grant in builders.granted(outgoing):
            granted.append(at)
            found.done(builders.done(grant), now)
    return granted


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 1.3, 2.3, 10.0])
def test_grants_stay_within_a_named_limit(rate: float) -> None:
    """Servers in need got a request whenever a slot was free."""
    found = builders.goal_scheduler(5)
    apply(found, rate, 0.0)
    grants = play(found, 0.0, 30.0)
    most = max(sum(at <= other < at + 4.0 for other in grants) for at in grants)
    assert most <= 1.5 * rate * 4.0 + 5.0
    assert len(grants) >= 0.8 * max(rate, requestrate.MIN_RATE) * 30.0 - 1.0


def test_other_servers_take_what_a_limited_one_does_not() -> None:
    """Requests waited for the limited server while another one was free."""
    found = builders.goal_scheduler(5, 5)
    apply(found, 0.5, 0.0)
    assert len(play(found, 0.0, 10.0)) > 150


def test_a_limit_ends_when_an_answer_names_none() -> None:
    """A server kept its limit after its need was over."""
    found = builders.goal_scheduler(5)
    apply(found, 0.5, 0.0)
    apply(found, None, 5.0)
    assert len(play(found, 5.0, 5.0)) > 50


def test_older_statements_are_ignored() -> None:
    """A ticket that was sent before restored or ended a limit."""
    found = builders.goal_scheduler(5)
    server = found.views.servers[SERVER]
    apply(found, 2.0, 5.0)
    apply(found, None, 6.0, age=3.0)
    assert server.restrictions.request_limit == 2.0
    apply(found, None, 7.0)
    apply(found, 2.0, 8.0, age=3.0)
    assert server.restrictions.request_limit is None


def test_a_restarted_server_has_no_limit() -> None:
    """The limit of an earlier start held for the next one."""
    found = builders.goal_scheduler(5)
    apply(found, 1.0, 0.0)
    server = builders.server("s0", 5, start=ids.ServerStart(2))
    found.configure(builders.cell(server), builders.instant(1.0))
    apply(found, 1.0, 2.0)
    assert found.views.servers[SERVER].restrictions.request_limit is None


def test_a_changed_limit_keeps_what_is_used_up() -> None:
    """Each change of a limit granted another burst."""
    rate = requestrate.RequestRate(10.0, builders.instant(0.0))
    assert rate.available(builders.instant(5.0)) == 10
    rate.change(2.0, builders.instant(5.0))
    assert rate.available(builders.instant(5.0)) == 2
    for _ in range(2):
        rate.take(builders.instant(5.0))
    rate.change(1.0, builders.instant(5.0))
    assert rate.available(builders.instant(5.9)) == 0
    assert rate.available_at(1, builders.instant(5.9)) == pytest.approx(
        builders.instant(6.0)
    )


def test_callers_beyond_the_limits_are_told_at_once() -> None:
    """A forecast by free slots let callers wait for a slot until their deadlines."""
    found = builders.goal_scheduler(5)
    apply(found, 0.5, 0.0)
    refused = []
    for _ in range(20):
        ticket = builders.ticket(remaining=10.0)
        refused += builders.refused(found.enqueue(ticket, builders.instant(0.0)))
    assert 13 <= len(refused) <= 16


def test_a_limited_slot_is_released_by_the_limit() -> None:
    """A free slot counted as available although the limit was used up."""
    found = builders.goal_scheduler(2)
    apply(found, 0.5, 0.0)
    now = builders.instant(0.0)
    released = waitingline.slot_releases(found.views.servers.values(), now)
    assert [release.at - now for release in released] == [2.0, 4.0]


def test_statements_are_sent_with_their_age_and_dropped() -> None:
    """Old statements would limit servers that answer others by now."""
    known = statements.Statements()
    grant = messages.Grant(
        ticket_id=ids.TicketId("t"),
        cell=builders.CELL,
        server=SERVER,
        host="",
        port=0,
    )
    said = statements.Statement(limit=statements.RequestLimit(1.7))
    known.record(POOL, grant, said, builders.instant(0.0))
    (found,) = known.of_pool(POOL, builders.instant(2.0))
    assert (found.server, found.rate, found.age) == (SERVER, 1.7, 2.0)
    late = builders.instant(statements.KEPT_SECONDS + 1.0)
    assert known.of_pool(POOL, late) == ()
    assert not known.known


def test_a_limit_that_was_never_stated_ends_none() -> None:
    """A statement of something else, by another entry, lifted the limit."""
    found = builders.goal_scheduler(5)
    apply(found, 2.0, 5.0)
    apply(found, None, 6.0, age=float("inf"))
    assert found.views.servers[SERVER].restrictions.request_limit == 2.0


def test_statements_of_the_version_before_are_understood() -> None:
    """During an upgrade, tickets with limits were dropped as unreadable."""
    content = msgspec.msgpack.encode(["s0", 0, 1.5, 0.2])
    found = msgspec.msgpack.decode(content, type=messages.ServerStatement)
    assert found == builders.statement("s0", rate=1.5, age=0.2)
