"""Tests of the entry's side of tickets."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tealcove import clock, ids
from tealcove.dispatch import messages, requester, statements
from tealcove.dispatch.tests import askers
from tealcove.membership.tests import builders
from tealcove.peers import endpoint, message


async def test_a_silent_dispatcher_is_skipped(asking: askers.Asking) -> None:
    """Guards against callers waiting for a frozen dispatcher until they give up.

    The first in rank is frozen; its grant arrives after that of the second. The ticket
    must be sent to the second, and only one of the two grants must be used.
    """
    await asking.asked(asking.second, 1)
    asking.queue_at(asking.second)
    asking.grant_from(asking.second)
    grant = await asking.obtaining
    assert grant.server == "s"
    before = asking.returned_to(asking.first)
    asking.grant_from(asking.first)
    assert asking.returned_to(asking.first) == before + 1
    assert asking.pending_ticket.answer.result() is grant


async def test_the_next_ticket_is_not_held_up_by_a_silent_dispatcher(
    asking: askers.Asking,
) -> None:
    """Guards against late first events until a dispatcher's death is suspected.

    The first in rank dies and leaves one ticket unanswered. Later tickets must not wait
    for its reply too, which would delay each by 0.3 s for about a second.
    """
    await asking.asked(asking.second, 1)
    asking.queue_at(asking.second)
    asked = len(asking.mesh.to(asking.port(asking.first), messages.Ticket))
    after = asyncio.create_task(
        asking.requester.obtain(asking.another_pending_ticket())
    )
    await asking.asked(asking.second, 2)
    assert len(asking.mesh.to(asking.port(asking.first), messages.Ticket)) == asked
    # A late reply shows that it was only slow: it's sent the next ticket again.
    asking.queue_at(asking.first)
    last = asyncio.create_task(asking.requester.obtain(asking.another_pending_ticket()))
    await asking.asked(asking.first, asked + 1)
    after.cancel()
    last.cancel()


async def test_a_restarted_dispatcher_is_asked_again(asking: askers.Asking) -> None:
    """Guards against requests ending with `deadline` after a restart, servers idle.

    The dispatcher has the ticket queued and is replaced by a process of the same name
    before it's suspected. The ranking doesn't change, but the ticket must be resent.
    """
    # The periodic refresh would hide the fault.
    await asking.requester.stop()
    await asking.asked(asking.first, 1)
    asking.queue_at(asking.first)
    number = int(asking.first.removeprefix("i-"))
    late = ids.Instant(clock.now() + 1500.0)
    asking.members.record_heartbeat(builders.heartbeat(number, "second"), late)
    await asking.asked(asking.first, 2)
    asking.queue_at(asking.first)
    asking.grant_from(asking.first)
    assert isinstance(await asking.obtaining, messages.Grant)


async def test_a_lost_grant_is_asked_for_again(asking: askers.Asking) -> None:
    """Guards against a request ending with `deadline` although it was granted a slot.

    The dispatcher queues and grants; the grant is lost with a connection, and the
    transport doesn't repeat messages between instances.
    """
    await asking.asked(asking.first, 1)
    asking.queue_at(asking.first)
    await asking.asked(asking.first, 2)
    asking.grant_from(asking.first)
    assert isinstance(await asking.obtaining, messages.Grant)


async def test_a_server_that_has_left_gets_no_request_from_an_outdated_dispatcher(
    asking: askers.Asking,
) -> None:
    """Guards against a server getting requests long after it announced its leaving."""
    asking.configure(1)
    await asking.asked(asking.first, 1)
    asking.queue_at(asking.first)
    asking.configure(2, "s")
    before = asking.returned_to(asking.first)
    asking.grant_from(asking.first, "s", 1)
    assert not asking.pending_ticket.answer.done()
    assert asking.returned_to(asking.first) == before + 1
    sent = asking.mesh.to(asking.port(asking.first), messages.Ticket)
    assert sent[-1].content.excluded == ("s",)
    asking.grant_from(asking.first, "t", 1)
    assert (await asking.obtaining).server == "t"
    assert asking.requester.declined == 1


async def test_a_dispatcher_that_knows_only_servers_that_left_ends_the_wait(
    asking: askers.Asking,
) -> None:
    asking.configure(1)
    await asking.asked(asking.first, 1)
    asking.configure(2, *askers.SERVERS)
    asking.grant_from(asking.first, "s", 1)
    asking.grant_from(asking.first, "t", 1)
    asking.grant_from(asking.first, "s", 1)
    refusal = await asking.obtaining
    assert refusal.reason is messages.RefusalReason.NO_BACKEND_SERVER
    assert not asking.requester.pending_tickets


async def test_a_grant_based_on_a_newer_list_is_accepted(asking: askers.Asking) -> None:
    asking.configure(1, "s")
    await asking.asked(asking.first, 1)
    asking.grant_from(asking.first, "s", 2)
    assert (await asking.obtaining).server == "s"


async def test_a_refusal_of_a_former_dispatcher_is_ignored(
    asking: askers.Asking,
) -> None:
    await asking.asked(asking.second, 1)
    asking.queue_at(asking.second)
    refusal = messages.Refusal(
        ticket_id=asking.pending_ticket.ticket.ticket_id,
        reason=messages.RefusalReason.OVERLOAD,
        retry_after=1.0,
    )
    asking.requester.handle_refusal(asking.first, refusal)
    assert not asking.pending_ticket.answer.done()
    asking.requester.handle_refusal(asking.second, refusal)
    assert await asking.obtaining is refusal


async def test_an_ended_request_no_longer_counts_for_its_cell(
    asking: askers.Asking,
) -> None:
    """Guards against an entry avoiding the cells that it has used most.

    If tickets of ended requests stayed counted as running in a cell, more and more
    requests would leave the cell that has their prefix cached.
    """
    await asking.asked(asking.first, 1)
    asking.grant_from(asking.first)
    await asking.obtaining
    assert asking.requester.spread.tickets == {askers.CELL: 1}
    done = messages.Done(
        ticket_id=asking.pending_ticket.ticket.ticket_id,
        cell=askers.CELL,
        server=ids.BackendServerId("s"),
        outcome=messages.Outcome.COMPLETED,
        prompt_tokens=1,
        cached_tokens=0,
        output_tokens=1,
        first_token_seconds=0.1,
        total_seconds=0.2,
    )
    asking.requester.finish(asking.pending_ticket, done)
    assert not asking.requester.spread.tickets
    assert not asking.requester.pending_tickets


@pytest.mark.parametrize(
    ("granted", "answered", "reports", "carried"),
    [
        (None, 1.7, [1.7], [1.7]),
        (1.7, 1.7, [], [1.7]),
        (1.7, 2.3, [2.3], [2.3]),
        (1.7, None, [None], [None]),
        (None, None, [], []),
    ],
)
async def test_answers_that_state_another_limit_are_reported(
    asking: askers.Asking,
    granted: float | None,
    answered: float | None,
    reports: list[float | None],
    carried: list[float | None],
) -> None:
    """An answer from before a limit, which arrives late, ended it."""
    await asking.asked(asking.first, 1)
    asking.grant_from(asking.first)
    grant = msgspec.structs.replace(await asking.obtaining, request_limit=granted)
    now = clock.now()
    said = statements.Statement(limit=statements.RequestLimit(answered))
    asking.requester.record_statement(asking.pending_ticket, grant, said, now)
    sent = asking.mesh.to(asking.port(asking.first), messages.StatementReport)
    assert [one.content.stated.rate for one in sent] == reports
    ticket = asking.requester.current(asking.another_pending_ticket(), now)
    assert [stated.rate for stated in ticket.statements] == carried


@pytest.mark.parametrize("has_left", [False, True])
async def test_only_the_server_with_the_copy_is_accepted(
    asking: askers.Asking, has_left: bool
) -> None:
    """Guards against a second run by an older dispatcher that ignores the copy.

    The server with the copy goes on with the stream also while it leaves.
    """
    has_copy = msgspec.structs.replace(
        asking.pending_ticket.ticket, copy_at=ids.BackendServerId("t")
    )
    asking.pending_ticket.ticket = has_copy
    asking.configure(1)
    await asking.asked(asking.first, 1)
    asking.configure(2, *(["t"] if has_left else []))
    asking.grant_from(asking.first, "t", 1)
    assert (await asking.obtaining).server == "t"


async def test_a_grant_of_a_server_without_the_copy_ends_the_wait(
    asking: askers.Asking,
) -> None:
    """Guards against a round through all servers of an older dispatcher."""
    has_copy = msgspec.structs.replace(
        asking.pending_ticket.ticket, copy_at=ids.BackendServerId("t")
    )
    asking.pending_ticket.ticket = has_copy
    await asking.asked(asking.first, 1)
    before = asking.returned_to(asking.first)
    asking.grant_from(asking.first, "s", 1)
    refusal = await asking.obtaining
    assert refusal.reason is messages.RefusalReason.NO_BACKEND_SERVER
    assert asking.returned_to(asking.first) == before + 1
    assert not asking.requester.pending_tickets


async def test_a_running_ticket_tells_where_its_copy_is(
    asking: askers.Asking,
) -> None:
    """Guards against new dispatchers that crowd the servers with copies."""
    asking.requester.mark_running(
        asking.pending_ticket,
        ids.BackendServerId("s"),
        copy_at=ids.BackendServerId("t"),
    )
    ticket = asking.requester.current(asking.pending_ticket, clock.now())
    assert (ticket.running_on, ticket.copy_at) == ("s", "t")


async def test_a_ticket_that_cannot_be_sent_holds_up_no_other(
    asking: askers.Asking, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests whose tickets nobody refreshes any more.

    A ticket that raises when it is sent stays neither behind nor ends the refresh.
    """
    monkeypatch.setattr(requester, "REFRESH_INTERVAL", 0.01)
    asking.requester.refreshing.cancel()
    asking.requester.start()
    bad = asking.another_pending_ticket()
    text = b"r-\xe9".decode(errors="surrogateescape")
    bad.ticket = msgspec.structs.replace(bad.ticket, request_id=ids.RequestId(text))
    send = asking.mesh.send

    def encode_and_send(peer: endpoint.Endpoint, sent: message.Message) -> bool:
        msgspec.msgpack.encode(sent)
        return send(peer, sent)

    monkeypatch.setattr(asking.mesh, "send", encode_and_send)
    with pytest.raises(UnicodeEncodeError):
        await asking.requester.obtain(bad)
    assert bad.ticket.ticket_id not in asking.requester.pending_tickets
    # Also one that was sent before it couldn't be.
    bad.dispatcher = asking.first
    tickets = asking.requester.pending_tickets
    asking.requester.pending_tickets = {bad.ticket.ticket_id: bad, **tickets}
    asking.queue_at(asking.first)
    times = len(asking.mesh.to(asking.port(asking.first), messages.Ticket))
    await asking.asked(asking.first, times + 3)
