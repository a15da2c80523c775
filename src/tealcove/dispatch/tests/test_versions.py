"""Tests of tickets that are bound to the software version of their stream."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tealcove import ids
from tealcove.dispatch import fair, goal, messages, scheduler
from tealcove.dispatch.tests import askers, builders

SCHEDULERS = (goal.GoalScheduler, fair.FairScheduler)
V1, V2 = ids.SoftwareVersion("v1"), ids.SoftwareVersion("v2")
NOW = builders.instant(10.0)


def opened(
    kind: type[scheduler.Scheduler], *versions: str, slots: int = 2
) -> scheduler.Scheduler:
    """Return a scheduler with a server of each version: s0, s1, ..."""
    servers = [
        builders.server(f"s{number}", slots, version=version)
        for number, version in enumerate(versions)
    ]
    found = kind()
    found.configure(builders.cell(*servers), builders.instant(0.0))
    if kind is fair.FairScheduler:
        for server in servers:
            builders.train(found, server.name)
    found.tick(builders.instant(1.0))
    return found


def servers_of(outgoing: list[scheduler.Outgoing]) -> list[str]:
    """Return the servers that were granted."""
    return [grant.server for grant in builders.granted(outgoing)]


@pytest.mark.parametrize("kind", SCHEDULERS)
@pytest.mark.parametrize("excluded", [(), ("s1",), ("s0", "s1")])
def test_a_stream_gets_only_servers_of_its_version(
    kind: type[scheduler.Scheduler], excluded: tuple[str, ...]
) -> None:
    """Guards against exclusions that are dropped together with the version."""
    found = opened(kind, "v2", "v1", "v2")
    grants = []
    for _ in range(4):
        ticket = builders.ticket(version=V1, excluded=excluded)
        grants.extend(builders.granted(found.enqueue(ticket, NOW)))
        grants.extend(builders.granted(found.tick(builders.instant(10.5))))
    assert all(grant.server == "s1" and grant.version == "v1" for grant in grants)
    assert grants or kind is fair.FairScheduler


@pytest.mark.parametrize("kind", SCHEDULERS)
def test_a_stream_whose_version_is_full_waits_and_holds_up_no_others(
    kind: type[scheduler.Scheduler],
) -> None:
    found = opened(kind, "v1", "v2")
    for _ in range(2):
        assert servers_of(found.enqueue(builders.ticket(version=V1), NOW)) == ["s0"]
    waiting = [builders.ticket(version=V1) for _ in range(6)]
    for ticket in waiting:
        outgoing = found.enqueue(ticket, NOW)
        assert not builders.granted(outgoing)
        assert not builders.refused(outgoing)
    for version in (V2, None):
        ticket = builders.ticket(version=version)
        assert servers_of(found.enqueue(ticket, NOW)) == ["s1"]


@pytest.mark.parametrize("kind", SCHEDULERS)
def test_a_stream_whose_version_has_no_server_is_refused_at_once(
    kind: type[scheduler.Scheduler],
) -> None:
    found = opened(kind, "v2", "v2")
    outgoing = found.enqueue(builders.ticket(version=V1), NOW)
    (refusal,) = builders.refused(outgoing)
    assert refusal.reason is messages.RefusalReason.NO_BACKEND_SERVER
    assert refusal.retry_after > 0.0


@pytest.mark.parametrize("kind", SCHEDULERS)
def test_a_stream_that_waits_is_refused_when_its_version_goes(
    kind: type[scheduler.Scheduler],
) -> None:
    found = opened(kind, "v1", "v2", slots=1)
    found.enqueue(builders.ticket(version=V1), NOW)
    assert not builders.refused(found.enqueue(builders.ticket(version=V1), NOW))
    left = builders.cell(builders.server("s1", 1, version="v2"))
    assert len(builders.refused(found.configure(left, builders.instant(10.1)))) == 1


def test_a_stream_goes_before_requests_that_any_version_may_run() -> None:
    """New streams would take every slot that is released at its version."""
    found = opened(goal.GoalScheduler, "v1", "v2", slots=1)
    first = builders.granted(found.enqueue(builders.ticket(version=V1), NOW))[0]
    found.enqueue(builders.ticket(version=V2), NOW)
    fresh = builders.ticket(goal=0.5)
    found.enqueue(fresh, NOW)
    bound = builders.ticket(version=V1, goal=20.0)
    found.enqueue(bound, NOW)
    ended = found.done(builders.done(first), builders.instant(10.1))
    assert [grant.ticket_id for grant in builders.granted(ended)] == [bound.ticket_id]


def test_a_stream_waits_for_a_server_that_takes_the_place_of_its_own() -> None:
    """Guards against the loss of streams whose only server crashed and starts again."""
    found = opened(goal.GoalScheduler, "v1", "v2")
    first = builders.granted(found.enqueue(builders.ticket(version=V1), NOW))[0]
    crashed = builders.done(first, outcome=messages.Outcome.CRASHED)
    found.done(crashed, builders.instant(10.1))
    again = builders.ticket(version=V1, goal=0.05, patience=2.0)
    assert not builders.refused(found.enqueue(again, builders.instant(10.1)))
    assert not builders.refused(found.tick(builders.instant(10.3)))
    listed = builders.cell(
        builders.server("s1", 2, version="v2"),
        builders.server("s2", 2, version="v1"),
    )
    assert servers_of(found.configure(listed, builders.instant(10.4))) == ["s2"]


def test_one_version_changes_nothing_in_the_order_of_the_line() -> None:
    found = opened(goal.GoalScheduler, "v1", slots=1)
    first = builders.granted(found.enqueue(builders.ticket(), NOW))[0]
    fresh = builders.ticket(goal=2.0)
    found.enqueue(builders.ticket(version=V1, goal=20.0), NOW)
    found.enqueue(fresh, NOW)
    ended = found.done(builders.done(first), builders.instant(10.1))
    assert [grant.ticket_id for grant in builders.granted(ended)] == [fresh.ticket_id]


@pytest.mark.parametrize("kind", SCHEDULERS)
def test_a_running_stream_is_adopted_whatever_its_version(
    kind: type[scheduler.Scheduler],
) -> None:
    """A new dispatcher counts the slot that another one granted."""
    found = opened(kind, "v1", "v2", slots=1)
    running = builders.ticket(version=V1, running_on=ids.BackendServerId("s0"))
    found.enqueue(running, NOW)
    waiting = found.enqueue(builders.ticket(version=V1), NOW)
    assert not builders.granted(waiting)


def test_the_older_form_of_tickets_and_grants_is_understood() -> None:
    ticket = builders.ticket()
    content = msgspec.msgpack.decode(msgspec.msgpack.encode(ticket))[:-1]
    decoded = msgspec.convert(content, messages.Ticket)
    assert decoded.version is None


@pytest.mark.parametrize("stated", [None, V2])
async def test_a_grant_of_another_version_is_declined(
    stated: ids.SoftwareVersion | None,
) -> None:
    """A dispatcher of the release before knows of no versions, and states none."""
    asking = askers.Asking()
    asking.pending_ticket.ticket = msgspec.structs.replace(
        asking.pending_ticket.ticket, version=V1
    )
    await asking.asked(asking.first, 1)
    asking.queue_at(asking.first)
    for server in ("s", "t", "s"):
        grant = msgspec.structs.replace(asking.grant(server), version=stated)
        asking.requester.handle_grant(asking.first, grant)
    found = await asyncio.wait_for(asking.obtaining, askers.TEST_TIMEOUT)
    assert isinstance(found, messages.Refusal)
    assert found.reason is messages.RefusalReason.NO_BACKEND_SERVER


async def test_a_grant_of_the_version_is_used() -> None:
    asking = askers.Asking()
    asking.pending_ticket.ticket = msgspec.structs.replace(
        asking.pending_ticket.ticket, version=V1
    )
    await asking.asked(asking.first, 1)
    asking.queue_at(asking.first)
    grant = msgspec.structs.replace(asking.grant("s"), version=V1)
    asking.requester.handle_grant(asking.first, grant)
    assert await asyncio.wait_for(asking.obtaining, askers.TEST_TIMEOUT) == grant
