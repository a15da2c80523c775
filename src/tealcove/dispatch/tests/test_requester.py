"""The entry's side of tickets."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tealcove import clock, ids
from tealcove.dispatch import messages, pending, requester, spread
from tealcove.dispatch.tests import transport
from tealcove.membership import members
from tealcove.membership.tests import builders
from tealcove.resources import copy, kinds

PATIENCE = 30.0
CELL = ids.CellId("engines/0")
SERVERS = ("s", "t")


class Asking:
    """A requester among three instances, with one ticket on its way."""

    def __init__(self) -> None:
        self.mesh = transport.NotingMesh()
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
        self.hold = pending.PendingTicket(ticket, self.far(), None)
        self.obtaining = asyncio.create_task(self.requester.obtain(self.hold))
        ranked = self.members.rank(CELL, clock.now())
        self.first, self.second = ranked

    def far(self) -> ids.Instant:
        """Return a deadline that no test comes near to."""
        return ids.Instant(clock.now() + 1000.0)

    def another_hold(self) -> pending.PendingTicket:
        """Return another request's ticket for the same cell."""
        ticket = msgspec.structs.replace(
            self.hold.ticket, ticket_id=ids.new_ticket_id()
        )
        return pending.PendingTicket(ticket, self.far(), None)

    def port(self, instance: ids.InstanceId) -> int:
        """Return the peer port of an instance."""
        return self.members.find(instance).peer_port

    async def asked(self, instance: ids.InstanceId, times: int) -> None:
        """Wait until an instance was sent the ticket so many times."""
        port = self.port(instance)
        async with asyncio.timeout(PATIENCE):
            while True:
                if len(self.mesh.to(port, messages.Ticket)) >= times:
                    return
                await asyncio.sleep(0.005)

    def queue_at(self, instance: ids.InstanceId) -> None:
        """Let an instance answer that it has the ticket."""
        queued = messages.Queued(ticket_id=self.hold.ticket.ticket_id)
        self.requester.take_queued(instance, queued)

    def configure(self, revision: int, *leaving: str) -> None:
        """Put a pool in force, some of whose servers leave."""
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
        self.copy.move(copy.Configuration(ids.Revision(revision), resources))

    def grant_from(
        self, instance: ids.InstanceId, server: str = "s", revision: int = 1
    ) -> None:
        """Let an instance grant a slot."""
        grant = messages.Grant(
            ticket_id=self.hold.ticket.ticket_id,
            cell=CELL,
            server=ids.BackendServerId(server),
            host="127.0.0.1",
            port=1,
            revision=ids.Revision(revision),
        )
        self.requester.take_grant(instance, grant)

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


async def test_a_silent_dispatcher_is_passed_over(asking: Asking) -> None:
    """Callers wait for a frozen dispatcher until they give up.

    Symptom: requests of all entries hang although backend servers are idle.
    Sequence: the first in rank is frozen; its grant comes after the second's.
    Cause: a ticket that nobody takes over, or two grants of which both are used.
    """
    await asking.asked(asking.second, 1)
    asking.queue_at(asking.second)
    asking.grant_from(asking.second)
    grant = await asking.obtaining
    assert grant.server == "s"
    before = asking.returned_to(asking.first)
    asking.grant_from(asking.first)
    assert asking.returned_to(asking.first) == before + 1
    assert asking.hold.answer.result() is grant


async def test_the_next_ticket_is_not_held_up_by_a_silent_dispatcher(
    asking: Asking,
) -> None:
    """Every request of a second comes late after a dispatcher's death.

    Symptom: first events 0.3 s later than usual until the death is suspected.
    Sequence: the first in rank dies; one ticket finds out, and others come. Cause:
    each of them waited for the dead one's answer anew.
    """
    await asking.asked(asking.second, 1)
    asking.queue_at(asking.second)
    asked = len(asking.mesh.to(asking.port(asking.first), messages.Ticket))
    after = asyncio.create_task(asking.requester.obtain(asking.another_hold()))
    await asking.asked(asking.second, 2)
    assert len(asking.mesh.to(asking.port(asking.first), messages.Ticket)) == asked
    # A late word shows that it was only slow: the next ticket is its own again.
    asking.queue_at(asking.first)
    last = asyncio.create_task(asking.requester.obtain(asking.another_hold()))
    await asking.asked(asking.first, asked + 1)
    after.cancel()
    last.cancel()


async def test_a_restarted_dispatcher_is_asked_again(asking: Asking) -> None:
    """Tickets wait to their deadlines at a dispatcher that forgot them.

    Symptom: some requests end with `deadline` after a restart, servers idle.
    Sequence: the dispatcher has the ticket queued; it's replaced by a process of
    the same name before anyone suspects it.
    Cause: the ranking names the same instance as before, so nobody asks again.
    """
    # Asking again after some seconds would hide the fault.
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
    """A slot stays promised to a request that doesn't know of it.

    Symptom: a request ends with `deadline` while a slot looks taken.
    Sequence: the dispatcher queues and grants; the grant is lost with a link.
    Cause: messages between instances aren't repeated by the transport.
    """
    await asking.asked(asking.first, 1)
    asking.queue_at(asking.first)
    await asking.asked(asking.first, 2)
    asking.grant_from(asking.first)
    assert isinstance(await asking.obtaining, messages.Grant)


async def test_a_server_that_has_left_gets_no_request_from_an_outdated_dispatcher(
    asking: Asking,
) -> None:
    """A server gets requests long after it has said that it leaves."""
    asking.configure(1)
    await asking.asked(asking.first, 1)
    asking.queue_at(asking.first)
    asking.configure(2, "s")
    before = asking.returned_to(asking.first)
    asking.grant_from(asking.first, "s", 1)
    assert not asking.hold.answer.done()
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
    assert not asking.requester.holds


async def test_a_dispatcher_with_a_newer_list_is_believed(asking: Asking) -> None:
    asking.configure(1, "s")
    await asking.asked(asking.first, 1)
    asking.grant_from(asking.first, "s", 2)
    assert (await asking.obtaining).server == "s"


async def test_a_refusal_of_a_former_dispatcher_is_no_answer(asking: Asking) -> None:
    await asking.asked(asking.second, 1)
    asking.queue_at(asking.second)
    refusal = messages.Refusal(
        ticket_id=asking.hold.ticket.ticket_id,
        reason=messages.RefusalReason.OVERLOAD,
        retry_after=1.0,
    )
    asking.requester.take_refusal(asking.first, refusal)
    assert not asking.hold.answer.done()
    asking.requester.take_refusal(asking.second, refusal)
    assert await asking.obtaining is refusal


async def test_an_ended_request_weighs_on_its_cell_no_more(asking: Asking) -> None:
    """The entry shuns the cells that it has used most.

    Symptom: requests leave the cell that has their prefix cached, more and more.
    Sequence: requests are granted slots and end.
    Cause: their tickets stay counted as running in the cell.
    """
    await asking.asked(asking.first, 1)
    asking.grant_from(asking.first)
    await asking.obtaining
    assert asking.requester.spread.tickets == {CELL: 1}
    done = messages.Done(
        ticket_id=asking.hold.ticket.ticket_id,
        cell=CELL,
        server=ids.BackendServerId("s"),
        outcome=messages.Outcome.COMPLETED,
        prompt_tokens=1,
        cached_tokens=0,
        output_tokens=1,
        first_token_seconds=0.1,
        total_seconds=0.2,
    )
    asking.requester.finish(asking.hold, done)
    assert not asking.requester.spread.tickets
    assert not asking.requester.holds
