"""Sends the promised returns of an entry to dispatchers that don't know them."""

from __future__ import annotations

import logbook

from tealcove import ids
from tealcove.admission import budget, keptreturns
from tealcove.dispatch import messages, pending, promises
from tealcove.membership import members
from tealcove.peers import mesh

log = logbook.Logger("admission")


# Promises a second that are sent ahead to the next dispatcher, in some 120 bytes each;
# further ones are sent when it takes over.
MAX_AHEAD = 3.0


class EntryPromises(promises.Promises):
    """Keeps the promises that passed through this entry.

    Each is also sent to the instance that is next in rank after its dispatcher: a
    caller may return at another entry, which notices the dispatcher's death before
    this one does, and the dispatcher's own process may be the one that was asked.
    """

    def __init__(self, transport: mesh.Mesh, known: members.Members) -> None:
        self.transport = transport
        self.members = known
        self.kept = keptreturns.KeptReturns()
        self.budget = budget.Budget(MAX_AHEAD)

    def record(
        self,
        request: pending.PendingTicket,
        refusal: messages.Refusal,
        now: ids.Instant,
    ) -> None:
        """See Promises."""
        waited = now - request.since
        promised = keptreturns.promised_return(request.ticket, refusal, waited)
        if promised is None:
            return
        self.keep(request.ticket.cell, promised, request.dispatcher, now)

    def keep(
        self,
        cell: ids.CellId,
        promised: messages.PromisedReturn,
        dispatcher: ids.InstanceId,
        now: ids.Instant,
    ) -> None:
        """Keep a return that a dispatcher has promised or is told by a report."""
        heartbeat = self.members.find(dispatcher)
        incarnation = None if heartbeat is None else heartbeat.incarnation
        self.kept.add(cell, promised, (dispatcher, incarnation), now)
        if not self.budget.allows(now):
            return
        ranked = self.members.rank(cell, now)
        standby = next((one for one in ranked if one != dispatcher), None)
        if standby is not None:
            self.budget.use()
            self.send(cell, standby, (promised,))

    def inform(
        self, cell: ids.CellId, dispatcher: ids.InstanceId, now: ids.Instant
    ) -> None:
        """See Promises."""
        if cell not in self.kept.by_cell:
            return
        heartbeat = self.members.find(dispatcher)
        if heartbeat is None:
            return
        holder = (dispatcher, heartbeat.incarnation)
        unknown = self.kept.hand_over(cell, holder, now)
        if unknown:
            log.info("{} promised returns sent to {}", len(unknown), dispatcher)
            self.send(cell, dispatcher, unknown)

    def reassign(self, now: ids.Instant) -> None:
        """See Promises."""
        for cell in list(self.kept.by_cell):
            for first in self.members.rank(cell, now)[:1]:
                self.inform(cell, first, now)

    def send(
        self,
        cell: ids.CellId,
        instance: ids.InstanceId,
        returns: tuple[messages.PromisedReturn, ...],
    ) -> None:
        """Send promised returns to an instance, if its address is known."""
        peer = self.members.endpoint_of(instance)
        if peer is not None:
            sent = messages.PromisedReturns(cell=cell, returns=returns)
            self.transport.send(peer, sent)
