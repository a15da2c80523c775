"""The dispatcher role of an instance: the cells that it serves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from tealcove import clock, ids, measuring, tasks
from tealcove.backends import engine
from tealcove.dispatch import (
    backendview,
    cells,
    exposure,
    heldcell,
    holds,
    messages,
    reading,
    scheduler,
    spans,
    suspicion,
)
from tealcove.membership import members
from tealcove.peers import mesh
from tealcove.storage import instances

log = logbook.Logger("dispatch")

TICK_INTERVAL = 0.05
# A cell that belongs to another instance and has no tickets is kept for so long.
RELEASE_AFTER = 10.0
RELEASE_INTERVAL = 1.0
# Seconds for which a newly served cell grants nothing that isn't urgent, so that
# entries can tell of the work that another dispatcher has granted: two heartbeats.
GATHER_SECONDS = 0.5
# Another dispatcher may have served the cell if the members changed within so
# long, or if its first ticket has waited elsewhere.
SETTLED_AFTER = 5.0
WAITED_ELSEWHERE = 0.1
# A tick that comes later than this means that the process was frozen.
FROZEN_AFTER = 0.75
# Ends of a request that tell of a server which can't be reached.
SERVER_LOST = (messages.Outcome.NOT_SENT, messages.Outcome.CRASHED)

FindCell = Callable[[ids.CellId], cells.Cell | None]


class Dispatcher:
    """Hands messages to the scheduler of their cell and sends what it decides.

    Any instance serves a cell as soon as it gets a ticket for it: the entries
    decide by the ranking whom they ask. Two dispatchers of one cell for a moment
    promise a slot twice, which the entries' tickets make harmless.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        find_cell: FindCell,
        new_scheduler: Callable[[], scheduler.Scheduler],
        engines: engine.EngineClient,
        poll_interval: float,
        suspects: suspicion.Suspicion | None = None,
        listed: Callable[[], tuple[instances.ListedInstance, ...]] = tuple,
        source: measuring.Source | None = None,
        gather_seconds: float = GATHER_SECONDS,
        exposures: exposure.Exposures | None = None,
    ) -> None:
        self.exposures = exposures or exposure.NoLimits()
        self.gather_seconds = gather_seconds
        self.transport = transport
        self.members = known
        self.find_cell = find_cell
        self.new_scheduler = new_scheduler
        self.holds = holds.Holds()
        self.reader = reading.Reader(engines, listed, self.holds)
        self.poll_interval = poll_interval
        self.suspicion = suspects or suspicion.NoSuspicion()
        self.spans = spans.Spans(source)
        # How often this instance decided so, for the metrics.
        self.granted = 0
        self.preempted = 0
        self.members_changed = clock.now()
        # The entries that tickets came from, as they were then.
        self.entries: dict[ids.InstanceId, ids.Incarnation] = {}
        self.held: dict[ids.CellId, heldcell.HeldCell] = {}
        self.has_cells = asyncio.Event()
        self.ticker: asyncio.Task[None] | None = None
        self.next_release = ids.Instant(clock.now() + RELEASE_INTERVAL)

    def start(self) -> None:
        """Begin to take tickets."""
        self.transport.handle(messages.Ticket, self.handle_ticket)
        self.transport.handle(messages.Withdrawal, self.handle_withdrawal)
        self.transport.handle(messages.Progress, self.handle_progress)
        self.transport.handle(messages.Done, self.handle_done)
        self.transport.handle(holds.Hold, self.handle_hold)
        self.members.listen(self.record_membership_change)
        self.ticker = tasks.start(self.tick(), "dispatcher tick")

    async def stop(self) -> None:
        """End all tasks."""
        polls = [
            poll.task for held in self.held.values() for poll in held.polls.values()
        ]
        await tasks.stop([self.ticker, *polls])

    def handle_ticket(self, sender: ids.InstanceId, ticket: messages.Ticket) -> None:
        """Queue a ticket, or refuse it when its cell isn't known here."""
        self.spans.begin(ticket)
        held = self.serve_cell(ticket)
        heartbeat = self.members.find(ticket.entry)
        if heartbeat is not None:
            self.entries[ticket.entry] = heartbeat.incarnation
        if held is None:
            refusal = messages.Refusal(
                ticket_id=ticket.ticket_id,
                reason=messages.RefusalReason.NO_BACKEND_SERVER,
                retry_after=1.0,
            )
            self.send([scheduler.Outgoing(ticket.entry, refusal)])
            return
        fitting = reading.exclude_unequipped(ticket, held.holdings)
        self.send(held.decider.enqueue(fitting, clock.now()))

    def handle_hold(self, sender: ids.InstanceId, hold: holds.Hold) -> None:
        """Keep a server from new work, or end that, and report to the steward."""
        now = clock.now()
        self.holds.take(hold, now)
        held = self.held.get(hold.cell)
        is_held = self.holds.is_held(hold.host, hold.port, now)
        report = holds.answer(hold, is_held)
        if held is not None:
            if is_held:
                self.send(held.decider.hold_back(hold.server, now))
            report = held.decider.report_hold(report)
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            self.transport.send(peer, report)

    def handle_withdrawal(
        self, sender: ids.InstanceId, withdrawal: messages.Withdrawal
    ) -> None:
        """Forget a ticket."""
        self.spans.end(withdrawal.ticket_id, spans.WITHDRAWN)
        held = self.held.get(withdrawal.cell)
        if held is not None:
            self.send(held.decider.withdraw(withdrawal.ticket_id, clock.now()))

    def handle_progress(
        self, sender: ids.InstanceId, progress: messages.Progress
    ) -> None:
        """Learn of a first token."""
        held = self.held.get(progress.cell)
        if held is not None:
            self.send(held.decider.progress(progress, clock.now()))

    def handle_done(self, sender: ids.InstanceId, done: messages.Done) -> None:
        """Learn that a slot is free."""
        held = self.held.get(done.cell)
        if held is not None:
            if done.outcome in SERVER_LOST:
                held.lost[done.server] = clock.now()
            self.send(held.decider.done(done, clock.now()))

    def serve_cell(self, ticket: messages.Ticket) -> heldcell.HeldCell | None:
        """Return a ticket's cell, served from now on; None: it doesn't exist."""
        held = self.held.get(ticket.cell)
        if held is not None:
            return held
        cell = self.find_cell(ticket.cell)
        if cell is None:
            return None
        now = clock.now()
        held = heldcell.HeldCell(
            cell, self.new_scheduler(), self.reader, self.poll_interval, self.send
        )
        held.decider.use_suspicion(self.suspicion)
        held.decider.use_exposure(self.exposures.of_pool(cell.pool))
        self.held[ticket.cell] = held
        self.has_cells.set()
        if self.may_be_served_elsewhere(ticket, now):
            held.decider.gather(ids.Instant(now + self.gather_seconds))
        self.send(held.decider.configure(cell, now))
        for server in self.holds.of_cell(cell, now):
            self.send(held.decider.hold_back(server, now))
        held.poll_servers()
        return held

    def may_be_served_elsewhere(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> bool:
        """Tell whether another dispatcher may have granted slots of a cell.

        If not, as long as the members have stayed the same, a ticket of a cell
        would always have come here, so that the first one has nothing to wait for.
        """
        if not self.members.peers:
            return False
        is_settled = now - self.members_changed > SETTLED_AFTER
        is_new = ticket.running_on is None and ticket.waited < WAITED_ELSEWHERE
        return not (is_settled and is_new)

    def views_by_pool(self) -> dict[ids.PoolId, list[backendview.BackendView]]:
        """Return the servers of each pool for which this instance decides."""
        found: dict[ids.PoolId, list[backendview.BackendView]] = {}
        for held in self.held.values():
            found.setdefault(held.cell.pool, []).extend(held.decider.backend_views())
        return found

    def record_membership_change(self) -> None:
        """Remember that the set of serving instances has just changed."""
        self.members_changed = clock.now()

    def reconfigure(self) -> None:
        """Bring every held cell to the configuration now in force."""
        for cell_id, held in list(self.held.items()):
            cell = self.find_cell(cell_id)
            if cell is None:
                cell = cells.Cell(cell_id, held.cell.pool, ())
            if cell != held.cell:
                held.cell = cell
                self.send(held.decider.configure(cell, clock.now()))
                held.poll_servers()

    async def tick(self) -> None:
        """Let the schedulers see time pass."""
        before = clock.now()
        while True:
            if not self.held:
                # There is nothing to decide until a ticket comes.
                self.has_cells.clear()
                await self.has_cells.wait()
                before = clock.now()
            await asyncio.sleep(TICK_INTERVAL)
            now = clock.now()
            if now - before > FROZEN_AFTER:
                self.handle_freeze(now)
            before = now
            try:
                self.advance(now)
            except Exception:
                # Without ticks no ticket expires and no late work is noticed, on
                # every cell of this instance and for good. One fault of one cell's
                # scheduler mustn't do that.
                log.exception("the tick failed")

    def advance(self, now: ids.Instant) -> None:
        """Decide what only the passing of time decides."""
        self.drop_lost_entries(now)
        for held in self.held.values():
            self.send(held.decider.tick(now))
        if now >= self.next_release:
            self.next_release = ids.Instant(now + RELEASE_INTERVAL)
            self.release_cells(now)

    def release_cells(self, now: ids.Instant) -> None:
        """Let go of cells that another instance serves and that have no tickets.

        Without it, each instance that was ever asked for a cell, such as during a
        takeover, would poll all its backend servers for ever.
        """
        for cell_id, held in list(self.held.items()):
            ranked = self.members.rank(cell_id, now, held.cell.data_centre)
            is_own = bool(ranked) and ranked[0] == self.members.own.instance
            if is_own or held.decider.depth() != (0, 0):
                held.needed_at = now
            if now - held.needed_at < RELEASE_AFTER:
                continue
            del self.held[cell_id]
            held.stop()

    def handle_freeze(self, now: ids.Instant) -> None:
        """Let the entries tell again what runs.

        While this process was frozen, the next in rank may have granted slots
        that are counted as free here.
        """
        for held in self.held.values():
            held.decider.gather(ids.Instant(now + self.gather_seconds))

    def drop_lost_entries(self, now: ids.Instant) -> None:
        """Tell the schedulers which entries are silent or were replaced."""
        for entry, incarnation in list(self.entries.items()):
            if self.is_present(entry, incarnation, now):
                continue
            del self.entries[entry]
            for held in self.held.values():
                self.send(held.decider.lose_entry(entry, now))

    def is_present(
        self, entry: ids.InstanceId, incarnation: ids.Incarnation, now: ids.Instant
    ) -> bool:
        """Tell whether an entry is the process that it was, and not silent.

        An entry that leaves is present until it's silent: it finishes its work.
        """
        if entry == self.members.own.instance:
            return True
        member = self.members.peers.get(entry)
        if member is None or member.heartbeat.incarnation != incarnation:
            return False
        return not self.members.is_suspect(member, now)

    def send(self, outgoing: list[scheduler.Outgoing]) -> None:
        """Tell the entries what was decided."""
        for out in outgoing:
            self.record(out.message)
            peer = self.members.endpoint_of(out.entry)
            if peer is None:
                log.warning("no address of {} for {}", out.entry, out.message)
                continue
            self.transport.send(peer, out.message)

    def record(
        self,
        sent: messages.Grant | messages.Refusal | messages.Preempt | messages.Queued,
    ) -> None:
        """Count a decision and close the ticket's span."""
        self.spans.answer(sent)
        if isinstance(sent, messages.Grant):
            self.granted += 1
        elif isinstance(sent, messages.Preempt):
            self.preempted += 1
