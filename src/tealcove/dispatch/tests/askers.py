"""A requester with one ticket sent, for tests of the entry's side of tickets."""

from __future__ import annotations

import asyncio

import msgspec

from tealcove import clock, ids
from tealcove.dispatch import messages, pending, requester, spread
from tealcove.dispatch.tests import transport
from tealcove.membership import members
from tealcove.membership.tests import builders
from tealcove.resources import copy, kinds

TEST_TIMEOUT = 30.0
CELL = ids.CellId("engines/0")
SERVERS = ("s", "t")
TICKET = ids.TicketId("tkt")


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
        granted = self.grant(server, revision)
        self.requester.handle_grant(instance, granted)

    def grant(self, server: str, revision: int = 1) -> messages.Grant:
        """Return a grant of a slot for the ticket."""
        return grant(server, revision, self.pending_ticket.ticket.ticket_id)

    def returned_to(self, instance: ids.InstanceId) -> int:
        """Return how many withdrawals an instance was sent."""
        return len(self.mesh.to(self.port(instance), messages.Withdrawal))


def grant(
    server: str, revision: int = 1, ticket: ids.TicketId = TICKET
) -> messages.Grant:
    """Return a grant of a slot."""
    return messages.Grant(
        ticket_id=ticket,
        cell=CELL,
        server=ids.BackendServerId(server),
        host="127.0.0.1",
        port=1,
        revision=ids.Revision(revision),
    )
