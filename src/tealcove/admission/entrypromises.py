"""Sends the promised returns of an entry to dispatchers that don't know them."""

from __future__ import annotations

import logbook

from tealcove import ids, tokenbucket
from tealcove.admission import keptreturns
from tealcove.dispatch import messages, pending, promises
from tealcove.membership import members
from tealcove.membership import messages as membership
from tealcove.peers import mesh

log = logbook.Logger("admission")


# Promises a second that are sent ahead to the next dispatcher, in some 120 bytes each;
# further ones are sent when it takes over, or when this instance leaves.
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
        self.budget = tokenbucket.TokenBucket(MAX_AHEAD)

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
        kept = self.kept.add(cell, promised, (dispatcher, incarnation), now)
        if self.is_leaving():
            self.copy_all(cell, dispatcher, now)
            return
        if not self.budget.allows(1.0, now):
            return
        standby = self.standby(cell, dispatcher, now)
        if standby is not None:
            self.budget.spend(1.0)
            kept.is_copied = True
            self.send(cell, standby, (promised,))

    def is_leaving(self) -> bool:
        """Tell whether this entry ends soon, and with it what it alone knows."""
        return self.members.own.lifecycle is membership.Lifecycle.LEAVING

    def standby(
        self, cell: ids.CellId, dispatcher: ids.InstanceId, now: ids.Instant
    ) -> ids.InstanceId | None:
        """Return the next in rank after a dispatcher.

        It isn't this instance, with whose end both copies would be lost.
        """
        knowing = (dispatcher, self.members.own.instance)
        ranked = self.members.rank(cell, now)
        return next((one for one in ranked if one not in knowing), None)

    def copy_all(
        self, cell: ids.CellId, dispatcher: ids.InstanceId, now: ids.Instant
    ) -> None:
        """Send the promises that weren't sent ahead to the next in rank."""
        standby = self.standby(cell, dispatcher, now)
        returns = () if standby is None else self.kept.take_uncopied(cell, now)
        if returns:
            self.send(cell, standby, returns)

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
                if self.is_leaving():
                    self.copy_all(cell, first, now)

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
