"""The witness's record of an idempotent request, and takeover of a lost entry's run."""

from __future__ import annotations

import msgspec

from tealcove import clock, ids
from tealcove.backends import engine
from tealcove.dispatch import messages, pending, requester
from tealcove.witness import messages as witness_messages
from tealcove.witness import role

# Seconds for which a record is kept beyond the deadline of its request.
RETENTION_SECONDS = 10.0


class RequestWitness:
    """Stores and finds the records of one request at the witness."""

    def __init__(
        self,
        witness: role.Witness,
        request_key: witness_messages.RequestKey,
        fingerprint: str,
        deadline: ids.Instant,
    ) -> None:
        self.witness = witness
        self.request_key = request_key
        self.fingerprint = fingerprint
        self.deadline = deadline
        self.request_id: ids.RequestId | None = None

    async def find_lost(self) -> witness_messages.Record | None:
        """Return the record of an earlier attempt whose entry is lost."""
        return await self.witness.find_lost(self.request_key, self.fingerprint)

    def store(self, ticket: messages.Ticket, server: engine.Server) -> None:
        """Store a record of a request that is about to be dispatched."""
        now = clock.now()
        own = self.witness.members.own
        record = witness_messages.Record(
            fingerprint=self.fingerprint,
            request_id=ticket.request_id,
            ticket_id=ticket.ticket_id,
            cell=ticket.cell,
            server=server.name,
            host=server.host,
            port=server.port,
            entry=own.instance,
            incarnation=own.incarnation,
        )
        self.request_id = ticket.request_id
        seconds = max(0.0, self.deadline - now) + RETENTION_SECONDS
        self.witness.store(self.request_key, record, seconds, now)

    def delete(self) -> None:
        """Delete the record of the request, which has ended."""
        if self.request_id is not None:
            self.witness.delete(self.request_key, self.request_id)


def adopt_ticket(
    pending_ticket: pending.PendingTicket,
    found: witness_messages.Record,
    tickets: requester.Requester,
) -> None:
    """Give a pending ticket the ids of the ticket that a lost entry's run has.

    With a ticket of its own, the run would hold two slots until the dispatcher
    detects the loss of the old entry.
    """
    pending_ticket.ticket = msgspec.structs.replace(
        pending_ticket.ticket,
        ticket_id=found.ticket_id,
        request_id=found.request_id,
        cell=found.cell,
    )
    cell = tickets.spread.find(found.cell)
    pending_ticket.near = None if cell is None else cell.data_centre


def announce_takeover(
    pending_ticket: pending.PendingTicket, tickets: requester.Requester
) -> None:
    """Notify the dispatcher of the new entry of a running request's ticket."""
    now = clock.now()
    ticket = pending_ticket.ticket
    tickets.pending_tickets[ticket.ticket_id] = pending_ticket
    tickets.spread.begin(ticket.cell)
    ranked = tickets.members.rank(ticket.cell, now, pending_ticket.near)
    if ranked:
        tickets.set_dispatcher(pending_ticket, ranked[0])
        tickets.send(pending_ticket, pending.current(pending_ticket, now))
