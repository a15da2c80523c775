"""The entry's side of tickets: requests slots from dispatchers and refreshes them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, ids, tasks
from tealcove.dispatch import cells, messages, pending, promises, spread, statements
from tealcove.membership import members, unresponsive
from tealcove.peers import mesh, message
from tealcove.storage import revisions

log = logbook.Logger("dispatch")

# Seconds between two refreshes of a ticket at its dispatcher.
REFRESH_INTERVAL = 1.0
# Seconds after which a dispatcher that left a ticket unanswered gets another one, about
# as long as a small group takes to suspect it.
RETRY_SILENT_AFTER = 1.0

# Receives a ticket, how its request ended, whether it ran alone, and the time.
Listener = Callable[[messages.Ticket, messages.Done, bool, ids.Instant], None]


class Requester:
    """Manages this entry's tickets of waiting and running requests."""

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
        self.pending_tickets: dict[ids.TicketId, pending.PendingTicket] = {}
        # Cells and dispatchers that were sent the running tickets in advance.
        self.informed: set[tuple[ids.CellId, ids.InstanceId]] = set()
        # Dispatchers that left a ticket unanswered.
        self.silence = unresponsive.UnresponsivePeers(RETRY_SILENT_AFTER)
        self.stated = statements.Statements()
        # Called at the end of each dispatched request.
        self.listeners: list[Listener] = []
        # Whether this entry reads notices of what dispatchers refuse.
        self.takes_notices = False
        self.promises: promises.Promises = promises.NoPromises()
        self.refreshing: asyncio.Task[None] | None = None
        # Count of grants that were returned since their servers can't be used.
        self.declined = 0

    def start(self) -> None:
        """Register the message handlers and start the periodic refresh."""
        self.transport.handle(messages.Queued, self.handle_queued)
        self.transport.handle(messages.Grant, self.handle_grant)
        self.transport.handle(messages.Refusal, self.handle_refusal)
        self.transport.handle(messages.Preempt, self.handle_preempt)
        self.members.listen(self.reassign_all)
        self.refreshing = tasks.start_loop(self.refresh, "ticket refresh")

    async def stop(self) -> None:
        """Stop the refresh."""
        await tasks.stop([self.refreshing])

    async def obtain(
        self, request: pending.PendingTicket
    ) -> messages.Grant | messages.Refusal:
        """Wait for a slot, asking the next in rank if a dispatcher is silent.

        Returns a refusal at the deadline at the latest.
        """
        self.pending_tickets[request.ticket.ticket_id] = request
        self.spread.begin(request.ticket.cell)
        try:
            return await self.negotiate(request)
        except Exception:
            # The ticket couldn't be sent, and would be sent again and again.
            self.forget(request)
            raise

    async def negotiate(
        self, request: pending.PendingTicket
    ) -> messages.Grant | messages.Refusal:
        """Ask dispatchers until one answers or the deadline has passed."""
        attempt = None
        while not request.answer.done():
            now = clock.now()
            if now >= request.deadline:
                self.abandon(request)
                return pending.local_refusal(request, messages.RefusalReason.DEADLINE)
            ranked = self.members.rank(request.ticket.cell, now, request.near)
            if not ranked:
                self.abandon(request)
                return pending.local_refusal(
                    request, messages.RefusalReason.NO_DISPATCHER
                )
            if attempt is None:
                attempt = self.first_responsive(ranked, now)
            self.ask(request, ranked[attempt % len(ranked)], now)
            if not await self.wait_for_reply(request):
                self.silence.note_timeout(request.dispatcher, clock.now())
                attempt += 1
                self.send_running(request, ranked[attempt % len(ranked)])
                continue
            self.silence.note_response(request.dispatcher)
            if not request.answer.done():
                await self.wait_for_answer(request)
            attempt = None
        return request.answer.result()

    def first_responsive(self, ranked: list[ids.InstanceId], now: ids.Instant) -> int:
        """Return the index of the first dispatcher that isn't known to be silent.

        A dead one is suspected after 1 s, or 3 s in a large group. Until then each
        request would wait for its reply again, for 0.3 s of the 0.5 s within which
        callers want a first event.
        """
        for place, instance in enumerate(ranked):
            if not self.silence.is_unresponsive(instance, now):
                return place
        return 0

    def ask(
        self,
        request: pending.PendingTicket,
        dispatcher: ids.InstanceId,
        now: ids.Instant,
    ) -> None:
        """Send the ticket to a dispatcher and withdraw it from the one before."""
        if request.dispatcher is not None and request.dispatcher != dispatcher:
            self.send(request, pending.withdrawal(request.ticket))
        loop = asyncio.get_running_loop()
        self.set_dispatcher(request, dispatcher)
        self.promises.inform(request.ticket.cell, dispatcher, now)
        request.moved = loop.create_future()
        request.replied = loop.create_future()
        self.send(request, self.current(request, now))

    def set_dispatcher(
        self, request: pending.PendingTicket, dispatcher: ids.InstanceId
    ) -> None:
        """Record which process has a ticket."""
        heartbeat = self.members.find(dispatcher)
        request.dispatcher = dispatcher
        request.incarnation = None if heartbeat is None else heartbeat.incarnation

    async def wait_for_reply(self, request: pending.PendingTicket) -> bool:
        """Wait for any reply, and tell whether it arrived in time."""
        timer = self.members.stalls.call_later(
            self.ticket_timeout, lambda: request.set_replied(False)
        )
        try:
            return await request.replied
        finally:
            timer.cancel()

    def send_running(
        self, waiting: pending.PendingTicket, dispatcher: ids.InstanceId
    ) -> None:
        """Send a cell's running tickets to the next in rank, before it grants slots.

        The silent dispatcher isn't suspected yet, so its running tickets weren't
        reassigned. The next in rank would take all slots for free, and requests would
        queue inside the engines, which don't know tiers.
        """
        cell = waiting.ticket.cell
        peer = self.members.endpoint_of(dispatcher)
        if peer is None or (cell, dispatcher) in self.informed:
            return
        self.informed.add((cell, dispatcher))
        now = clock.now()
        for request in self.pending_tickets.values():
            if request.ticket.cell == cell and request.ticket.running_on is not None:
                self.transport.send(peer, self.current(request, now))

    async def wait_for_answer(self, request: pending.PendingTicket) -> None:
        """Wait for the answer, the deadline or another dispatcher."""
        timeout = max(0.0, request.deadline - clock.now())
        await asyncio.wait(
            (request.answer, request.moved),
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )

    def abandon(self, request: pending.PendingTicket) -> None:
        """Withdraw a ticket, or return an unused grant."""
        self.forget(request)
        if request.dispatcher is not None:
            self.send(request, pending.withdrawal(request.ticket))

    def finish(self, request: pending.PendingTicket, done: messages.Done) -> None:
        """Notify the dispatcher that a dispatched request has ended.

        The listeners are called first: the mark on a request that crashed its server
        must reach the dispatcher before it learns that the slot is free, or the next
        copy of the request would be granted a slot at once.
        """
        self.forget(request)
        for listener in self.listeners:
            listener(request.ticket, done, request.alone, clock.now())
        self.send(request, done)

    def forget(self, request: pending.PendingTicket) -> None:
        """Remove a ticket that no longer waits or runs."""
        if self.pending_tickets.pop(request.ticket.ticket_id, None) is not None:
            self.spread.end(request.ticket.cell)

    def send(self, request: pending.PendingTicket, sent: message.Message) -> None:
        """Send a message to the ticket's dispatcher, if its address is known."""
        peer = self.members.endpoint_of(request.dispatcher)
        if peer is not None:
            self.transport.send(peer, sent)

    def reassign_all(self) -> None:
        """Move tickets to the dispatchers that are now first in rank.

        Called when the set of serving instances changes. Running tickets are moved
        too: without them, the new dispatcher would grant their slots twice.
        """
        now = clock.now()
        self.informed.clear()
        self.promises.reassign(now)
        # Ranked once for each cell: ranking for each of hundreds of tickets would block
        # the event loop for as long as a caller may wait for a first token.
        first: dict[tuple[ids.CellId, ids.DataCentreId | None], list[ids.InstanceId]]
        first = {}
        for request in list(self.pending_tickets.values()):
            place = (request.ticket.cell, request.near)
            if place not in first:
                first[place] = self.members.rank(
                    request.ticket.cell, now, request.near
                )[:1]
            for instance in first[place]:
                self.reassign(request, instance, now)

    def reassign(
        self,
        request: pending.PendingTicket,
        first: ids.InstanceId,
        now: ids.Instant,
    ) -> None:
        """Move a ticket to the first in rank, unless that one has it."""
        if self.is_assigned_to(request, first):
            return
        if request.ticket.running_on is None:
            pending.signal_move(request)
            return
        self.send(request, pending.withdrawal(request.ticket))
        self.set_dispatcher(request, first)
        self.send(request, self.current(request, now))

    def is_assigned_to(
        self, request: pending.PendingTicket, instance: ids.InstanceId
    ) -> bool:
        """Tell whether an instance's current process is the one that has the ticket.

        A dispatcher that restarts before it's suspected never seems to be gone;
        without this check, the tickets that it lost would wait until their deadlines.
        """
        heartbeat = self.members.find(instance)
        return (
            instance == request.dispatcher
            and heartbeat is not None
            and heartbeat.incarnation == request.incarnation
        )

    async def refresh(self) -> None:
        """Resend tickets to their dispatchers periodically.

        A message between instances may be lost, such as a grant during a reconnect.
        The dispatcher answers a repeated ticket like the first, and releases slots
        whose tickets are no longer refreshed.
        """
        while True:
            await asyncio.sleep(REFRESH_INTERVAL)
            now = clock.now()
            for request in list(self.pending_tickets.values()):
                if now - request.since < REFRESH_INTERVAL or request.dispatcher is None:
                    continue
                try:
                    self.send(request, self.current(request, now))
                except Exception:
                    # One ticket that can't be sent mustn't hold up the others.
                    log.exception("ticket {} not sent", request.ticket.ticket_id)

    def current(
        self, request: pending.PendingTicket, now: ids.Instant
    ) -> messages.Ticket:
        """Return a ticket as it is sent now, with the statements of its servers."""
        stated = self.stated.of_pool(cells.pool_of(request.ticket.cell), now)
        return msgspec.structs.replace(
            pending.current(request, now),
            statements=stated,
            takes_notices=self.takes_notices,
        )

    def record_statement(
        self,
        request: pending.PendingTicket,
        grant: messages.Grant,
        said: statements.Statement,
        now: ids.Instant,
    ) -> None:
        """Record what an answer states, and tell the dispatcher if it is news."""
        cell = request.ticket.cell
        stated = self.stated.record(cells.pool_of(cell), grant, said, now)
        if stated is not None:
            self.send(request, messages.StatementReport(cell=cell, stated=stated))

    def mark_running(
        self,
        request: pending.PendingTicket,
        server: ids.BackendServerId,
        start: ids.ServerStart = ids.NO_START,
        copy_at: ids.BackendServerId | None = None,
    ) -> None:
        """Record where a ticket's request runs, for a new dispatcher."""
        request.ticket = msgspec.structs.replace(
            request.ticket, running_on=server, running_start=start, copy_at=copy_at
        )

    def handle_queued(self, sender: ids.InstanceId, queued: messages.Queued) -> None:
        """Record that a dispatcher has a ticket."""
        self.silence.note_response(sender)
        request = self.pending_tickets.get(queued.ticket_id)
        if request is not None and request.dispatcher == sender:
            request.set_replied()

    def handle_grant(self, sender: ids.InstanceId, grant: messages.Grant) -> None:
        """Use the first grant of a ticket, and return every other one.

        A ticket that was sent to two dispatchers, since the first was silent for a
        while, may be granted a slot by both.
        """
        self.silence.note_response(sender)
        request = self.pending_tickets.get(grant.ticket_id)
        if (
            request is not None
            and request.dispatcher == sender
            and not request.answer.done()
        ):
            request.set_replied()
            seconds = self.usable_in(grant, clock.now())
            if not self.is_of_version(grant, request.ticket):
                seconds = math.inf
            copy_at = request.ticket.copy_at
            if copy_at is not None:
                # A server that leaves or rests still goes on with copied runs.
                seconds = 0.0 if grant.server == copy_at else math.inf
            if seconds > 0.0:
                self.decline(request, grant, seconds, clock.now())
            else:
                request.answer.set_result(grant)
            return
        if request is not None and request.dispatcher == sender:
            return
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            returned = messages.Withdrawal(ticket_id=grant.ticket_id, cell=grant.cell)
            self.transport.send(peer, returned)

    def usable_in(self, grant: messages.Grant, now: ids.Instant) -> float:
        """Return the seconds until a granted server may get a request.

        They are infinite if it has left, by the list of servers or its own answers.
        """
        if self.spread.has_left(grant.cell, grant.server, grant.start, grant.revision):
            return math.inf
        return self.stated.usable_in(grant, now)

    def version_of(self, grant: messages.Grant) -> ids.SoftwareVersion | None:
        """Return the software version of a granted server; None if not known.

        An older dispatcher doesn't state it.
        """
        if grant.version is not None:
            return grant.version
        return self.spread.version_of(grant.cell, grant.server, grant.start)

    def is_of_version(self, grant: messages.Grant, ticket: messages.Ticket) -> bool:
        """Tell whether a granted server may go on with a ticket's stream."""
        return ticket.version is None or self.version_of(grant) == ticket.version

    def decline(
        self,
        request: pending.PendingTicket,
        grant: messages.Grant,
        seconds: float,
        now: ids.Instant,
    ) -> None:
        """Return a slot of a server that can't be used, and request another one.

        The dispatcher's list of servers is older than this instance's, or it doesn't
        know yet what the server has stated. `seconds`: until the server can be used.
        """
        self.declined += 1
        log.info(
            "declined {} of version {}, which {}: granted by {} with pool revision {}",
            grant.server,
            grant.version,
            "can't be used" if math.isinf(seconds) else f"rests for {seconds:.1f} s",
            request.dispatcher,
            revisions.text(grant.revision),
            extra={"request": request.ticket.request_id},
        )
        self.stated.repeat_leaving(cells.pool_of(grant.cell), grant, now)
        self.send(request, pending.withdrawal(request.ticket))
        has_copy = request.ticket.copy_at is not None
        if has_copy or grant.server in request.ticket.excluded:
            # The dispatcher has no other server, or is of an older release and would
            # grant one server after the other that has no copy.
            self.forget(request)
            reason = messages.RefusalReason.NO_BACKEND_SERVER
            after = pending.RETRY_AFTER if math.isinf(seconds) else seconds
            request.answer.set_result(pending.local_refusal(request, reason, after))
            return
        excluded = (*request.ticket.excluded, grant.server)
        request.ticket = msgspec.structs.replace(request.ticket, excluded=excluded)
        self.send(request, self.current(request, now))

    def handle_refusal(self, sender: ids.InstanceId, refusal: messages.Refusal) -> None:
        """Accept a refusal from the ticket's current dispatcher only."""
        self.silence.note_response(sender)
        request = self.pending_tickets.get(refusal.ticket_id)
        if (
            request is not None
            and request.dispatcher == sender
            and not request.answer.done()
        ):
            self.forget(request)
            self.promises.record(request, refusal, clock.now())
            request.answer.set_result(refusal)
            request.set_replied()

    def handle_preempt(self, sender: ids.InstanceId, preempt: messages.Preempt) -> None:
        """Signal a running request to stop."""
        request = self.pending_tickets.get(preempt.ticket_id)
        if request is not None and not request.preempted.done():
            request.preempted.set_result(preempt)
