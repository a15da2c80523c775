"""Crashes that only the dispatcher can notice, since the entry died as well."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from tealcove import ids
from tealcove.dispatch import messages

# Load reports that a server must fail to give, one after the other, before it
# counts as gone. A single one may be lost without a crash.
MISSED_REPORTS = 4

# Gets a ticket, the server that is gone, whether it ran alone, and the time.
Report = Callable[
    [messages.Ticket, ids.BackendServerId, bool, ids.Instant],
    None,
]


class Granted(msgspec.Struct):
    """A slot that was granted to a ticket."""

    ticket: messages.Ticket
    server: ids.BackendServerId
    alone: bool
    until: ids.Instant


class Watch:
    """The grants of a dispatcher, and the servers that stopped reporting.

    An entry that lives tells of a crash itself, at once and more surely: it
    knows whether the connection broke. This one speaks only for entries that
    are gone. Without it, a request that kills a server while its entry dies
    too would be free to kill two more.
    """

    def __init__(self, is_alive: Callable[[ids.InstanceId], bool]) -> None:
        self.is_alive = is_alive
        self.tickets: dict[ids.TicketId, Granted] = {}
        self.missed: dict[ids.BackendServerId, int] = {}

    def granted(
        self, ticket: messages.Ticket, grant: messages.Grant, now: ids.Instant
    ) -> None:
        """Remember a grant until its caller's deadline."""
        until = ids.Instant(now + ticket.remaining)
        self.tickets[ticket.ticket_id] = Granted(
            ticket, grant.server, grant.alone, until
        )

    def ended(self, ticket_id: ids.TicketId) -> None:
        """Forget a grant whose entry has told its end."""
        self.tickets.pop(ticket_id, None)

    def reported(
        self, server: ids.BackendServerId, reachable: bool, now: ids.Instant
    ) -> list[Granted]:
        """Learn of a load report or its absence; return what was lost."""
        if reachable:
            self.missed.pop(server, None)
            return []
        self.missed[server] = self.missed.get(server, 0) + 1
        if self.missed[server] < MISSED_REPORTS:
            return []
        lost = [
            found
            for found in self.tickets.values()
            if found.server == server and not self.is_alive(found.ticket.entry)
        ]
        for found in lost:
            self.ended(found.ticket.ticket_id)
        return lost

    def sweep(self, now: ids.Instant) -> None:
        """Forget grants whose deadline has passed."""
        for ticket_id, found in list(self.tickets.items()):
            if found.until <= now:
                del self.tickets[ticket_id]
