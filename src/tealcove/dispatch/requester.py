"""The entry's side of tickets: asks dispatchers for slots and keeps them told."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, ids, tasks
from tealcove.dispatch import messages, pending, spread
from tealcove.membership import members, unresponsive
from tealcove.peers import mesh, message

log = logbook.Logger("dispatch")

# Seconds after which the dispatcher is told of a ticket again.
REFRESH_INTERVAL = 1.0
# A dispatcher that left a ticket unanswered gets another one after so many seconds,
# about as long as a small group takes to suspect it.
TRIED_AGAIN_SECONDS = 1.0

# Gets a ticket, how its request ended, whether it ran alone, and the time.
Listener = Callable[[messages.Ticket, messages.Done, bool, ids.Instant], None]


class Requester:
    """All tickets of this entry that wait or run."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        ticket_timeout: float,
        spreading: spread.Spread,
    ) -> None:
        self.spread = spreading
        self.transport = transport
        self.members = known
        self.ticket_timeout = ticket_timeout
        self.holds: dict[ids.TicketId, pending.PendingTicket] = {}
        # Dispatchers that were told what runs in a cell although another holds it.
        self.told: set[tuple[ids.CellId, ids.InstanceId]] = set()
        # Dispatchers that left a ticket unanswered.
        self.silence = unresponsive.UnresponsivePeers(TRIED_AGAIN_SECONDS)
        # Functions that learn how each dispatched request ended.
        self.listeners: list[Listener] = []
        self.refreshing: asyncio.Task[None] | None = None
        # Grants that were given back since their servers have left.
        self.declined = 0

    def start(self) -> None:
        """Begin to take grants."""
        self.transport.handle(messages.Queued, self.take_queued)
        self.transport.handle(messages.Grant, self.take_grant)
        self.transport.handle(messages.Refusal, self.take_refusal)
        self.transport.handle(messages.Preempt, self.take_preempt)
        self.members.listen(self.follow_ranking)
        self.refreshing = tasks.start(self.refresh(), "ticket refresh")

    async def stop(self) -> None:
        """End the task."""
        await tasks.stop([self.refreshing])

    async def obtain(
        self, hold: pending.PendingTicket
    ) -> messages.Grant | messages.Refusal:
        """Wait for a slot, asking the next in rank when a dispatcher is silent.

        Ends with a refusal at the deadline at the latest.
        """
        self.holds[hold.ticket.ticket_id] = hold
        self.spread.begin(hold.ticket.cell)
        attempt = None
        while not hold.answer.done():
            now = clock.now()
            if now >= hold.deadline:
                self.leave(hold)
                return pending.refuse(hold, messages.RefusalReason.DEADLINE)
            ranked = self.members.rank(hold.ticket.cell, now, hold.near)
            if not ranked:
                self.leave(hold)
                return pending.refuse(hold, messages.RefusalReason.NO_DISPATCHER)
            if attempt is None:
                attempt = self.first_heard(ranked, now)
            self.ask(hold, ranked[attempt % len(ranked)], now)
            if not await self.is_heard(hold):
                self.silence.note_timeout(hold.holder, clock.now())
                attempt += 1
                self.tell_running(hold, ranked[attempt % len(ranked)])
                continue
            self.silence.note_response(hold.holder)
            if not hold.answer.done():
                await self.wait_while_held(hold)
            attempt = None
        return hold.answer.result()

    def first_heard(self, ranked: list[ids.InstanceId], now: ids.Instant) -> int:
        """Return the place of the first dispatcher that isn't known to be silent.

        A dead one is suspected after 1 s, or 3 s in a large group. Until then each
        request would wait for its answer anew, 0.3 s of the 0.5 s that callers hope
        for a first event in.
        """
        for place, instance in enumerate(ranked):
            if not self.silence.is_unresponsive(instance, now):
                return place
        return 0

    def ask(
        self, hold: pending.PendingTicket, holder: ids.InstanceId, now: ids.Instant
    ) -> None:
        """Send the ticket to a dispatcher and withdraw it from the one before."""
        if hold.holder is not None and hold.holder != holder:
            self.tell(hold, pending.withdrawal(hold.ticket))
        loop = asyncio.get_running_loop()
        self.name_holder(hold, holder)
        hold.moved = loop.create_future()
        hold.heard = loop.create_future()
        self.tell(hold, pending.current(hold, now))

    def name_holder(self, hold: pending.PendingTicket, holder: ids.InstanceId) -> None:
        """Remember which process has a ticket."""
        heartbeat = self.members.find(holder)
        hold.holder = holder
        hold.incarnation = None if heartbeat is None else heartbeat.incarnation

    async def is_heard(self, hold: pending.PendingTicket) -> bool:
        """Tell whether the dispatcher answered the ticket in time."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self.ticket_timeout, hold.hear, False)
        try:
            return await hold.heard
        finally:
            timer.cancel()

    def tell_running(
        self, waiting: pending.PendingTicket, holder: ids.InstanceId
    ) -> None:
        """Tell the next in rank what runs in a cell, before it's asked for slots.

        Nobody suspects the silent dispatcher yet, so nobody has taken its running
        work elsewhere. The next in rank would think all slots free, and requests
        would wait inside the engines, where no tier goes before another.
        """
        cell = waiting.ticket.cell
        peer = self.members.endpoint_of(holder)
        if peer is None or (cell, holder) in self.told:
            return
        self.told.add((cell, holder))
        now = clock.now()
        for hold in self.holds.values():
            if hold.ticket.cell == cell and hold.ticket.running_on is not None:
                self.transport.send(peer, pending.current(hold, now))

    async def wait_while_held(self, hold: pending.PendingTicket) -> None:
        """Wait for the answer while the dispatcher stays the one to ask."""
        timeout = max(0.0, hold.deadline - clock.now())
        await asyncio.wait(
            (hold.answer, hold.moved),
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )

    def leave(self, hold: pending.PendingTicket) -> None:
        """Give up a ticket, or a grant that wasn't used."""
        self.forget(hold)
        if hold.holder is not None:
            self.tell(hold, pending.withdrawal(hold.ticket))

    def finish(self, hold: pending.PendingTicket, done: messages.Done) -> None:
        """Tell the dispatcher that a dispatched request has ended.

        The listeners go first: a mark against a request that crashed its server
        must reach the dispatcher before the news that the slot is free, or the
        next copy of the request would be granted a slot at once.
        """
        self.forget(hold)
        for listener in self.listeners:
            listener(hold.ticket, done, hold.alone, clock.now())
        self.tell(hold, done)

    def forget(self, hold: pending.PendingTicket) -> None:
        """Let go of a ticket that neither waits nor runs any more."""
        if self.holds.pop(hold.ticket.ticket_id, None) is not None:
            self.spread.end(hold.ticket.cell)

    def tell(self, hold: pending.PendingTicket, sent: message.Message) -> None:
        """Send a message to the ticket's dispatcher, if its address is known."""
        peer = self.members.endpoint_of(hold.holder)
        if peer is not None:
            self.transport.send(peer, sent)

    def follow_ranking(self) -> None:
        """Take tickets to the dispatcher that the ranking names from now on.

        Called when the set of serving instances changes. Running requests are
        told to the new dispatcher too: it would promise their slots twice.
        """
        now = clock.now()
        self.told.clear()
        # Ranked once for each cell: for each of hundreds of tickets it would keep the
        # event loop from first tokens for as long as a caller may wait for one.
        first: dict[tuple[ids.CellId, ids.DataCentreId | None], list[ids.InstanceId]]
        first = {}
        for hold in list(self.holds.values()):
            place = (hold.ticket.cell, hold.near)
            if place not in first:
                first[place] = self.members.rank(hold.ticket.cell, now, hold.near)[:1]
            for instance in first[place]:
                self.follow(hold, instance, now)

    def follow(
        self, hold: pending.PendingTicket, first: ids.InstanceId, now: ids.Instant
    ) -> None:
        """Take a ticket to the first in rank, unless that one has it."""
        if self.is_held_by(hold, first):
            return
        if hold.ticket.running_on is None:
            pending.move(hold)
            return
        self.tell(hold, pending.withdrawal(hold.ticket))
        self.name_holder(hold, first)
        self.tell(hold, pending.current(hold, now))

    def is_held_by(self, hold: pending.PendingTicket, instance: ids.InstanceId) -> bool:
        """Tell whether the process now under a name is the one that was asked.

        A dispatcher that was restarted within the time to suspect it never looks
        gone; without this, tickets that it forgot would wait to their deadlines.
        """
        heartbeat = self.members.find(instance)
        return (
            instance == hold.holder
            and heartbeat is not None
            and heartbeat.incarnation == hold.incarnation
        )

    async def refresh(self) -> None:
        """Tell dispatchers again and again of the tickets that they should have.

        A message between instances may be lost, such as a grant while a link is
        set up anew. The dispatcher answers a repeated ticket as it did the first,
        and takes back slots whose tickets are no longer told of.
        """
        while True:
            await asyncio.sleep(REFRESH_INTERVAL)
            now = clock.now()
            for hold in list(self.holds.values()):
                if now - hold.since >= REFRESH_INTERVAL and hold.holder is not None:
                    self.tell(hold, pending.current(hold, now))

    def mark_running(
        self,
        hold: pending.PendingTicket,
        server: ids.BackendServerId,
        start: ids.ServerStart = ids.NO_START,
    ) -> None:
        """Remember where a ticket's request runs, for a new dispatcher."""
        hold.ticket = msgspec.structs.replace(
            hold.ticket, running_on=server, running_start=start
        )

    def take_queued(self, sender: ids.InstanceId, queued: messages.Queued) -> None:
        """Note that a dispatcher has a ticket."""
        self.silence.note_response(sender)
        hold = self.holds.get(queued.ticket_id)
        if hold is not None and hold.holder == sender:
            hold.hear()

    def take_grant(self, sender: ids.InstanceId, grant: messages.Grant) -> None:
        """Use the first grant of a ticket, and return every other one.

        A ticket that was asked of two dispatchers, since the first was silent for
        a while, may get a slot from both.
        """
        self.silence.note_response(sender)
        hold = self.holds.get(grant.ticket_id)
        if hold is not None and hold.holder == sender and not hold.answer.done():
            hold.hear()
            if self.spread.has_left(grant.cell, grant.server, grant.revision):
                self.decline(hold, grant)
            else:
                hold.answer.set_result(grant)
            return
        if hold is not None and hold.holder == sender:
            return
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            returned = messages.Withdrawal(ticket_id=grant.ticket_id, cell=grant.cell)
            self.transport.send(peer, returned)

    def decline(self, hold: pending.PendingTicket, grant: messages.Grant) -> None:
        """Give back a slot of a server that has left, and ask for another one.

        The dispatcher's list is older than this instance's.
        """
        self.declined += 1
        log.info(
            "declined {}, which has left: granted by {} with the pool of revision {}",
            grant.server,
            hold.holder,
            grant.revision,
            extra={"request": hold.ticket.request_id},
        )
        self.tell(hold, pending.withdrawal(hold.ticket))
        if grant.server in hold.ticket.excluded:
            # It knows no other server.
            self.forget(hold)
            reason = messages.RefusalReason.NO_BACKEND_SERVER
            hold.answer.set_result(pending.refuse(hold, reason))
            return
        excluded = (*hold.ticket.excluded, grant.server)
        hold.ticket = msgspec.structs.replace(hold.ticket, excluded=excluded)
        self.tell(hold, pending.current(hold, clock.now()))

    def take_refusal(self, sender: ids.InstanceId, refusal: messages.Refusal) -> None:
        """Take the word of the ticket's present dispatcher only."""
        self.silence.note_response(sender)
        hold = self.holds.get(refusal.ticket_id)
        if hold is not None and hold.holder == sender and not hold.answer.done():
            self.forget(hold)
            hold.answer.set_result(refusal)
            hold.hear()

    def take_preempt(self, sender: ids.InstanceId, preempt: messages.Preempt) -> None:
        """Pass on the order to stop a running request."""
        hold = self.holds.get(preempt.ticket_id)
        if hold is not None and not hold.preempted.done():
            hold.preempted.set_result(preempt)
