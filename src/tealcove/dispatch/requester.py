"""The entry's side of tickets: asks dispatchers for slots and keeps them told."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from tealcove import clock, ids
from tealcove.dispatch import messages
from tealcove.membership import members
from tealcove.peers import mesh, message

# Seconds between two looks at whether the dispatcher of a waiting ticket is
# still the one that the ranking names.
CHECK_INTERVAL = 0.25


class Hold:
    """A ticket of this entry, from the first asking to its end."""

    def __init__(
        self,
        ticket: messages.Ticket,
        deadline: ids.Instant,
        near: ids.DataCentreId | None,
    ) -> None:
        self.ticket = ticket
        self.deadline = deadline
        self.near = near
        self.since = clock.now()
        self.holder: ids.InstanceId | None = None
        # Set when the ranking may name another dispatcher than it did.
        self.moved = False
        self.queued = asyncio.Event()
        self.answer: asyncio.Future[messages.Grant | messages.Refusal] = (
            asyncio.get_running_loop().create_future()
        )
        self.preempted: asyncio.Future[messages.Preempt] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def alone(self) -> bool:
        """Tell whether the request has its server for itself."""
        if not self.answer.done() or self.answer.cancelled():
            return False
        found = self.answer.result()
        return isinstance(found, messages.Grant) and found.alone


# Gets a ticket, how its request ended, whether it ran alone, and the time.
Listener = Callable[[messages.Ticket, messages.Done, bool, ids.Instant], None]


class Requester:
    """All tickets of this entry that wait or run."""

    def __init__(
        self, transport: mesh.Mesh, known: members.Members, ticket_timeout: float
    ) -> None:
        self.transport = transport
        self.members = known
        self.ticket_timeout = ticket_timeout
        self.holds: dict[ids.TicketId, Hold] = {}
        # Functions that learn how each dispatched request ended.
        self.listeners: list[Listener] = []

    def start(self) -> None:
        """Begin to take grants."""
        self.transport.handle(messages.Queued, self.take_queued)
        self.transport.handle(messages.Grant, self.take_grant)
        self.transport.handle(messages.Refusal, self.take_refusal)
        self.transport.handle(messages.Preempt, self.take_preempt)
        self.members.listen(self.follow_ranking)

    async def obtain(self, hold: Hold) -> messages.Grant | messages.Refusal:
        """Wait for a slot, asking the next in rank when a dispatcher is silent.

        Ends with a refusal at the deadline at the latest.
        """
        self.holds[hold.ticket.ticket_id] = hold
        attempt = 0
        while not hold.answer.done():
            now = clock.now()
            if now >= hold.deadline:
                self.leave(hold)
                return refuse(hold, messages.RefusalReason.DEADLINE)
            ranked = self.members.rank(hold.ticket.cell, now, hold.near)
            if not ranked:
                self.leave(hold)
                return refuse(hold, messages.RefusalReason.NO_DISPATCHER)
            self.ask(hold, ranked[attempt % len(ranked)], now)
            if not await self.is_heard(hold):
                attempt += 1
                continue
            await self.wait_while_held(hold)
            attempt = 0
        return hold.answer.result()

    def ask(self, hold: Hold, holder: ids.InstanceId, now: ids.Instant) -> None:
        """Send the ticket to a dispatcher and withdraw it from the one before."""
        if hold.holder is not None and hold.holder != holder:
            self.tell(hold, withdrawal(hold.ticket))
        hold.holder = holder
        hold.moved = False
        hold.queued.clear()
        asked = msgspec.structs.replace(
            hold.ticket,
            remaining=max(0.0, hold.deadline - now),
            waited=now - hold.since,
        )
        self.tell(hold, asked)

    async def is_heard(self, hold: Hold) -> bool:
        """Tell whether the dispatcher answered the ticket in time."""
        queued = asyncio.create_task(hold.queued.wait())
        try:
            await asyncio.wait(
                (queued, hold.answer),
                timeout=self.ticket_timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            queued.cancel()
        return hold.queued.is_set() or hold.answer.done()

    async def wait_while_held(self, hold: Hold) -> None:
        """Wait for the answer while the dispatcher stays the one to ask."""
        while not hold.answer.done():
            now = clock.now()
            if now >= hold.deadline or hold.moved:
                return
            await asyncio.wait((hold.answer,), timeout=CHECK_INTERVAL)

    def leave(self, hold: Hold) -> None:
        """Give up a ticket, or a grant that wasn't used."""
        self.holds.pop(hold.ticket.ticket_id, None)
        if hold.holder is not None:
            self.tell(hold, withdrawal(hold.ticket))

    def finish(self, hold: Hold, done: messages.Done) -> None:
        """Tell the dispatcher that a dispatched request has ended.

        The listeners go first: a mark against a request that crashed its server
        must reach the dispatcher before the news that the slot is free, or the
        next copy of the request would be granted a slot at once.
        """
        self.holds.pop(hold.ticket.ticket_id, None)
        for listener in self.listeners:
            listener(hold.ticket, done, hold.alone, clock.now())
        self.tell(hold, done)

    def tell(self, hold: Hold, sent: message.Message) -> None:
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
        for hold in self.holds.values():
            ranked = self.members.rank(hold.ticket.cell, now, hold.near)
            if not ranked or ranked[0] == hold.holder:
                continue
            if hold.ticket.running_on is None:
                hold.moved = True
                continue
            self.tell(hold, withdrawal(hold.ticket))
            hold.holder = ranked[0]
            self.tell(hold, hold.ticket)

    def mark_running(self, hold: Hold, server: ids.BackendServerId) -> None:
        """Remember where a ticket's request runs, for a new dispatcher."""
        hold.ticket = msgspec.structs.replace(hold.ticket, running_on=server)

    def take_queued(self, sender: ids.InstanceId, queued: messages.Queued) -> None:
        """Note that a dispatcher has a ticket."""
        hold = self.holds.get(queued.ticket_id)
        if hold is not None and hold.holder == sender:
            hold.queued.set()

    def take_grant(self, sender: ids.InstanceId, grant: messages.Grant) -> None:
        """Use the first grant of a ticket, and return every other one.

        A ticket that was asked of two dispatchers, since the first was silent for
        a while, may get a slot from both.
        """
        hold = self.holds.get(grant.ticket_id)
        if hold is not None and hold.holder == sender and not hold.answer.done():
            hold.answer.set_result(grant)
            return
        if hold is not None and hold.holder == sender:
            return
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            returned = messages.Withdrawal(ticket_id=grant.ticket_id, cell=grant.cell)
            self.transport.send(peer, returned)

    def take_refusal(self, sender: ids.InstanceId, refusal: messages.Refusal) -> None:
        """Take the word of the ticket's present dispatcher only."""
        hold = self.holds.get(refusal.ticket_id)
        if hold is not None and hold.holder == sender and not hold.answer.done():
            self.holds.pop(refusal.ticket_id)
            hold.answer.set_result(refusal)

    def take_preempt(self, sender: ids.InstanceId, preempt: messages.Preempt) -> None:
        """Pass on the order to stop a running request."""
        hold = self.holds.get(preempt.ticket_id)
        if hold is not None and not hold.preempted.done():
            hold.preempted.set_result(preempt)


def withdrawal(ticket: messages.Ticket) -> messages.Withdrawal:
    """Return the message that gives a ticket up."""
    return messages.Withdrawal(ticket_id=ticket.ticket_id, cell=ticket.cell)


def refuse(hold: Hold, reason: messages.RefusalReason) -> messages.Refusal:
    """Return a refusal that the entry gives on its own account."""
    return messages.Refusal(
        ticket_id=hold.ticket.ticket_id, reason=reason, retry_after=1.0
    )
