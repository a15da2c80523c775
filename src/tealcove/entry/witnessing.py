"""The record of one idempotent request at a witness, and the run it may lead to."""

from __future__ import annotations

import msgspec

from tealcove import clock, ids
from tealcove.backends import engine
from tealcove.dispatch import messages, pending, requester
from tealcove.witness import messages as witness_messages
from tealcove.witness import role

# How long a record stays beyond the deadline of its request.
LINGER_SECONDS = 10.0


class RequestWitness:
    """Says whether a request runs already for an entry that died."""

    def __init__(
        self,
        witness: role.Witness,
        place: witness_messages.Place,
        fingerprint: str,
        deadline: ids.Instant,
    ) -> None:
        self.witness = witness
        self.place = place
        self.fingerprint = fingerprint
        self.deadline = deadline
        self.request_id: ids.RequestId | None = None

    async def find(self) -> witness_messages.Record | None:
        """Return where an earlier sending runs whose entry is lost."""
        return await self.witness.find_lost(self.place, self.fingerprint)

    def leave(self, ticket: messages.Ticket, server: engine.Server) -> None:
        """Leave a record of a request that is about to be dispatched."""
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
        seconds = max(0.0, self.deadline - now) + LINGER_SECONDS
        self.witness.leave(self.place, record, seconds, now)

    def drop(self) -> None:
        """Have the record forgotten: the request has ended."""
        if self.request_id is not None:
            self.witness.drop(self.place, self.request_id)


def take_ticket(
    hold: pending.PendingTicket,
    found: witness_messages.Record,
    tickets: requester.Requester,
) -> None:
    """Make a ticket the one that a lost entry's run has its slot by.

    Under a ticket of its own, the run would hold two slots until the dispatcher
    has noticed that the old entry is gone.
    """
    hold.ticket = msgspec.structs.replace(
        hold.ticket,
        ticket_id=found.ticket_id,
        request_id=found.request_id,
        cell=found.cell,
    )
    cell = tickets.spread.find(found.cell)
    hold.near = None if cell is None else cell.data_centre


def announce(hold: pending.PendingTicket, tickets: requester.Requester) -> None:
    """Tell the dispatcher whose the ticket of a running request is now."""
    now = clock.now()
    ticket = hold.ticket
    tickets.pending_tickets[ticket.ticket_id] = hold
    tickets.spread.begin(ticket.cell)
    ranked = tickets.members.rank(ticket.cell, now, hold.near)
    if ranked:
        tickets.set_dispatcher(hold, ranked[0])
        tickets.send(hold, pending.current(hold, now))
