"""Tests of the entry's side of tickets."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tealcove import clock, ids
from tealcove.dispatch import messages, pending, requester, spread, statements
from tealcove.dispatch.tests import transport
from tealcove.membership import members
from tealcove.membership.tests import builders
from tealcove.resources import copy, kinds

TEST_TIMEOUT = 30.0
CELL = ids.CellId("engines/0")
SERVERS = ("s", "t")


class Asking:
    """A requester among three instances, with one ticket sent."""

    def __init__(self) -> None:
        self.mesh = transport.RecordingMesh()
        self.copy = copy.ConfigurationCopy()
        self.members = members.Members(
            builders.heartbeat(0, lifecycle=builders.messages.Lifecycle.JOINING),
            1000.0,
            2000.0,
        )
        for number in (1, 2):
            self.members.record_heartbeat(builders.heartbeat(number), clock.now())
        self.requester = requester.Requester(
            self.mesh,
            self.members,
            0.05,
            spread.Spread(self.copy, lambda centre: 0.0),
        )
        self.requester.start()
        ticket = messages.Ticket(
            ticket_id=ids.new_ticket_id(),
            request_id=ids.new_request_id(),
            cell=CELL,
            entry=self.members.own.instance,
            tier_rank=0,
            account=ids.AccountId("a"),
            idempotent=True,
            prompt_tokens=1,
            output_tokens=1,
            prefix=(),
            remaining=0.0,
        )
        self.pending_ticket = pending.PendingTicket(ticket, self.far(), None)
        self.obtaining = asyncio.create_task(self.requester.obtain(self.pending_ticket))
        ranked = self.members.rank(CELL, clock.now())
        self.first, self.second = ranked

    def far(self) -> ids.Instant:
        """Return a deadline that no test reaches."""
        return ids.Instant(clock.now() + 1000.0)

    def another_pending_ticket(self) -> pending.PendingTicket:
        """Return another request's ticket for the same cell."""
        ticket = msgspec.structs.replace(
            self.pending_ticket.ticket, ticket_id=ids.new_ticket_id()
        )
        return pending.PendingTicket(ticket, self.far(), None)

    def port(self, instance: ids.InstanceId) -> int:
        """Return the peer port of an instance."""
        return self.members.find(instance).peer_port

    async def asked(self, instance: ids.InstanceId, times: int) -> None:
        """Wait until an instance was sent the ticket so many times."""
        port = self.port(instance)
        async with asyncio.timeout(TEST_TIMEOUT):
            while True:
                if len(self.mesh.to(port, messages.Ticket)) >= times:
                    return
                await asyncio.sleep(0.005)

    def queue_at(self, instance: ids.InstanceId) -> None:
        """Let an instance reply that it has the ticket."""
        queued = messages.Queued(ticket_id=self.pending_ticket.ticket.ticket_id)
        self.requester.handle_queued(instance, queued)

    def configure(self, revision: int, *leaving: str) -> None:
        """Put a pool with some leaving servers in force."""
        spec = kinds.EnginePoolSpec(
            servers=tuple(
                kinds.BackendServerSpec(
                    name=name,
                    host="127.0.0.1",
                    port=1,
                    data_centre="dc",
                    state=kinds.ServerState.LEAVING
                    if name in leaving
                    else kinds.ServerState.SERVING,
                )
                for name in SERVERS
            )
        )
        metadata = kinds.Metadata(
            name="engines",
            revision=ids.Revision(revision),
            generation=1,
            changed_by="ops",
        )
        pool = kinds.Resource(kind=kinds.Kind.ENGINE_POOL, metadata=metadata, spec=spec)
        resources = dict(copy.empty().resources)
        resources[kinds.Kind.ENGINE_POOL] = {"engines": pool}
        self.copy.activate(copy.Configuration(ids.Revision(revision), resources))

    def grant_from(
        self, instance: ids.InstanceId, server: str = "s", revision: int = 1
    ) -> None:
        """Let an instance grant a slot."""
        grant = messages.Grant(
            ticket_id=self.pending_ticket.ticket.ticket_id,
            cell=CELL,
            server=ids.BackendServerId(server),
            host="127.0.0.1",
            port=1,
            revision=ids.Revision(revision),
        )
        self.requester.handle_grant(instance, grant)

    def returned_to(self, instance: ids.InstanceId) -> int:
        """Return how many withdrawals an instance was sent."""
        return len(self.mesh.to(self.port(instance), messages.Withdrawal))


@pytest.fixture
async def asking() -> Asking:
    """Return a ticket that was just sent, and end it afterwards."""
    found = Asking()
    yield found
    found.obtaining.cancel()
    await found.requester.stop()


async def test_a_silent_dispatcher_is_skipped(asking: Asking) -> None:
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
    asking: Asking,
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


async def test_a_restarted_dispatcher_is_asked_again(asking: Asking) -> None:
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


async def test_a_lost_grant_is_asked_for_again(asking: Asking) -> None:
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
    asking: Asking,
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
    asking: Asking,
) -> None:
    asking.configure(1)
    await asking.asked(asking.first, 1)
    asking.configure(2, *SERVERS)
    asking.grant_from(asking.first, "s", 1)
    asking.grant_from(asking.first, "t", 1)
    asking.grant_from(asking.first, "s", 1)
    refusal = await asking.obtaining
    assert refusal.reason is messages.RefusalReason.NO_BACKEND_SERVER
    assert not asking.requester.pending_tickets


async def test_a_grant_based_on_a_newer_list_is_accepted(asking: Asking) -> None:
    asking.configure(1, "s")
    await asking.asked(asking.first, 1)
    asking.grant_from(asking.first, "s", 2)
    assert (await asking.obtaining).server == "s"


async def test_a_refusal_of_a_former_dispatcher_is_ignored(asking: Asking) -> None:
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


async def test_an_ended_request_no_longer_counts_for_its_cell(asking: Asking) -> None:
    """Guards against an entry avoiding the cells that it has used most.

    If tickets of ended requests stayed counted as running in a cell, more and more
    requests would leave the cell that has their prefix cached.
    """
    await asking.asked(asking.first, 1)
    asking.grant_from(asking.first)
    await asking.obtaining
    assert asking.requester.spread.tickets == {CELL: 1}
    done = messages.Done(
        ticket_id=asking.pending_ticket.ticket.ticket_id,
        cell=CELL,
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
    asking: Asking,
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
