"""Dispatcher role of an instance, which serves the cells assigned to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from tealcove import clock, ids, measuring, tasks
from tealcove.backends import engine
from tealcove.dispatch import (
    accountreports,
    admission,
    awaitedreturns,
    backendview,
    cells,
    crossing,
    crossingreports,
    exposure,
    holds,
    messages,
    notices,
    pathevidence,
    paths,
    reading,
    scheduler,
    servedcell,
    spans,
    suspicion,
)
from tealcove.membership import members
from tealcove.peers import mesh, message
from tealcove.storage import instances

log = logbook.Logger("dispatch")

TICK_INTERVAL = 0.05
# Seconds for which a cell is kept that belongs to another instance and has no tickets.
RELEASE_AFTER = 10.0
RELEASE_INTERVAL = 1.0
# Seconds for which a newly served cell grants nothing that isn't urgent, so that
# entries can report the work that another dispatcher has granted: two heartbeats.
GATHER_SECONDS = 0.5
# Another dispatcher may have served the cell if the members changed less than
# SETTLED_AFTER ago, or if its first ticket has waited for WAITED_ELSEWHERE or more.
SETTLED_AFTER = 5.0
WAITED_ELSEWHERE = 0.1
# Seconds after a change of the members in which a return may come before its promise:
# entries learn of the change by heartbeats, and tell what they know then.
RETURNS_SECONDS = 0.5
# Seconds for which this process stood still between two ticks, from which on another
# instance may have dispatched in its place.
FROZEN_SECONDS = 0.7

FindCell = Callable[[ids.CellId], cells.Cell | None]


class Dispatcher:
    """Passes messages to the scheduler of their cell and sends its decisions.

    An instance serves a cell as soon as it receives a ticket for it: the entries
    choose the dispatcher by the ranking. While a cell briefly has two dispatchers,
    a slot may be granted twice; the entries' tickets make that harmless.
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
        new_admission: Callable[[], admission.Admission] | None = None,
        sharing: accountreports.AccountSharing | None = None,
        new_crossing: Callable[[], crossing.Crossing] = crossing.ConstantPenalty,
        crossings: crossingreports.CrossingReports | None = None,
    ) -> None:
        self.new_admission = new_admission
        self.sharing = sharing or accountreports.NoSharing(transport)
        self.new_crossing = new_crossing
        self.crossings = crossings or crossingreports.NoReports(transport)
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
        self.paths = pathevidence.PathEvidence(self.count_serving)
        self.spans = spans.Spans(source)
        # Counts of this instance's grants and preemptions, for the metrics.
        self.granted = 0
        self.preempted = 0
        self.members_changed = clock.now()
        # The incarnation of each entry when it last sent a ticket.
        self.entries: dict[ids.InstanceId, ids.Incarnation] = {}
        self.held: dict[ids.CellId, servedcell.ServedCell] = {}
        self.awaited = awaitedreturns.AwaitedReturns()
        self.has_cells = asyncio.Event()
        self.ticker: asyncio.Task[None] | None = None
        self.next_release = ids.Instant(clock.now() + RELEASE_INTERVAL)

    def start(self) -> None:
        """Register the message handlers and start the periodic tick."""
        self.transport.handle(messages.Ticket, self.handle_ticket)
        self.transport.handle(messages.Withdrawal, self.handle_withdrawal)
        self.transport.handle(messages.Progress, self.handle_progress)
        self.transport.handle(messages.Done, self.handle_done)
        self.transport.handle(messages.StatementReport, self.handle_statement)
        self.transport.handle(messages.PathReport, self.handle_paths)
        self.transport.handle(holds.Hold, self.handle_hold)
        self.transport.handle(messages.PromisedReturns, self.handle_promises)
        self.sharing.start()
        self.crossings.start()
        self.transport.handle(notices.LocalRefusals, self.handle_local_refusals)
        self.members.listen(self.record_membership_change)
        self.ticker = tasks.start_loop(self.tick, "dispatcher tick")

    async def stop(self) -> None:
        """End all tasks."""
        polls = [
            poll.task for held in self.held.values() for poll in held.polls.values()
        ]
        await tasks.stop([self.ticker, *polls])

    def handle_ticket(self, sender: ids.InstanceId, ticket: messages.Ticket) -> None:
        """Queue a ticket, or refuse it if its cell is unknown."""
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
        for stated in ticket.statements:
            self.apply_statement(held, ticket.entry, stated)
        fitting = reading.exclude_unequipped(ticket, held.holdings)
        self.send(held.scheduler.enqueue(fitting, clock.now()))

    def handle_hold(self, sender: ids.InstanceId, hold: holds.Hold) -> None:
        """Hold a server back from new work, or end that, and report to the steward."""
        now = clock.now()
        self.holds.apply(hold, now)
        held = self.held.get(hold.cell)
        is_held = self.holds.is_held(hold.host, hold.port, now)
        report = holds.new_report(hold, is_held)
        if held is not None:
            if is_held:
                self.send(held.scheduler.hold_back(hold.server, now))
            report = held.scheduler.report_hold(report)
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            self.transport.send(peer, report)

    def handle_withdrawal(
        self, sender: ids.InstanceId, withdrawal: messages.Withdrawal
    ) -> None:
        """Remove a withdrawn ticket."""
        self.spans.end(withdrawal.ticket_id, spans.WITHDRAWN)
        held = self.held.get(withdrawal.cell)
        if held is not None:
            self.send(held.scheduler.withdraw(withdrawal.ticket_id, clock.now()))

    def handle_progress(
        self, sender: ids.InstanceId, progress: messages.Progress
    ) -> None:
        """Record a request's first token."""
        held = self.held.get(progress.cell)
        if held is not None:
            now = clock.now()
            if progress.reached:
                at = ids.Instant(now - progress.first_token_seconds)
                self.paths.record_reached(progress.reached, progress.server, at, now)
                self.send(held.scheduler.confirm_reachable(progress.server, now))
            self.send(held.scheduler.progress(progress, now))

    def handle_done(self, sender: ids.InstanceId, done: messages.Done) -> None:
        """Record the end of a request and release its slot."""
        held = self.held.get(done.cell)
        if held is not None:
            now = clock.now()
            if done.outcome in paths.LOST_OUTCOMES:
                held.lost_at[done.server] = now
            if self.paths.record_done(sender, done, now):
                self.send(held.scheduler.confirm_reachable(done.server, now))
            self.send(held.scheduler.done(done, now))

    def handle_paths(self, sender: ids.InstanceId, report: messages.PathReport) -> None:
        """Record which instances reach a server, and which don't."""
        held = self.held.get(report.cell)
        if held is not None:
            now = clock.now()
            at = ids.Instant(now - report.age)
            self.paths.record_lost(report.lost, report.server, at)
            self.paths.record_reached(report.reached, report.server, at, now)
            self.send(held.scheduler.confirm_reachable(report.server, now))

    def handle_promises(
        self, sender: ids.InstanceId, sent: messages.PromisedReturns
    ) -> None:
        """Keep returns that another dispatcher has promised, if returns are planned."""
        if self.new_admission is None:
            return
        now = clock.now()
        # Kept for the next dispatcher as well, as the senders may be gone by then.
        self.awaited.add(sent.cell, sent.returns, now)
        first = self.first_in_rank(sent.cell, now)
        if first is not None:
            self.awaited.holders.setdefault(sent.cell, first)
        held = self.held.get(sent.cell)
        if held is not None:
            held.scheduler.restore_returns(sent.returns, now)

    def first_in_rank(
        self, cell: ids.CellId, now: ids.Instant
    ) -> awaitedreturns.Holder | None:
        """Return the process that dispatches a cell; None if no instance serves."""
        for instance in self.members.rank(cell, now)[:1]:
            return instance, self.members.find(instance).incarnation
        return None

    def pass_returns_on(self, now: ids.Instant) -> None:
        """Send returns that this instance was told to the dispatchers that are new."""
        for cell in self.awaited.by_cell:
            first = self.first_in_rank(cell, now)
            if first is None:
                continue
            returns = self.awaited.pass_on(cell, first, now)
            if returns and first[0] != self.members.own.instance:
                peer = self.members.endpoint_of(first[0])
                sent = messages.PromisedReturns(cell=cell, returns=returns)
                self.transport.send(peer, sent)

    def handle_local_refusals(
        self, sender: ids.InstanceId, sent: notices.LocalRefusals
    ) -> None:
        """Count what an entry has refused by itself."""
        held = self.held.get(sent.cell)
        if held is not None:
            held.scheduler.record_local_refusals(sender, sent, clock.now())

    def record_poll(
        self, server: ids.BackendServerId, is_reached: bool, now: ids.Instant
    ) -> None:
        """Record whether this instance's own poll reached a server."""
        own = self.members.own.instance
        if is_reached:
            self.paths.record_reached(own, server, now, now)
        else:
            self.paths.record_lost((own,), server, now)

    def count_serving(self, now: ids.Instant) -> int:
        """Return the number of serving instances."""
        return len(self.members.serving(now))

    def handle_statement(
        self, sender: ids.InstanceId, report: messages.StatementReport
    ) -> None:
        """Apply what a server stated to an entry."""
        held = self.held.get(report.cell)
        if held is not None:
            self.apply_statement(held, sender, report.stated)

    def apply_statement(
        self,
        held: servedcell.ServedCell,
        entry: ids.InstanceId,
        stated: messages.ServerStatement,
    ) -> None:
        """Apply a statement, and send the decisions that follow from it."""
        self.send(held.scheduler.apply_statement(entry, stated, clock.now()))

    def serve_cell(self, ticket: messages.Ticket) -> servedcell.ServedCell | None:
        """Return a ticket's cell, and start serving it; None if it doesn't exist."""
        held = self.held.get(ticket.cell)
        if held is not None:
            return held
        cell = self.find_cell(ticket.cell)
        if cell is None:
            return None
        now = clock.now()
        held = servedcell.ServedCell(
            cell,
            self.new_scheduler(),
            self.reader,
            self.poll_interval,
            self.send,
            self.record_poll,
        )
        held.scheduler.use_suspicion(self.suspicion)
        held.scheduler.use_paths(self.paths)
        held.scheduler.use_exposure(self.exposures.of_pool(cell.pool))
        if self.new_admission is not None:
            held.scheduler.use_admission(self.new_admission())
            returns = self.awaited.take(cell.cell_id, now)
            held.scheduler.restore_returns(returns, now)
            self.awaited.add(cell.cell_id, returns, now)
            self.expect_returns(held.scheduler)
        held.scheduler.use_accounts(self.sharing.of_cell(cell, now))
        held.scheduler.use_crossing(self.new_crossing())
        self.held[ticket.cell] = held
        self.has_cells.set()
        if self.may_be_served_elsewhere(ticket, now):
            held.scheduler.gather(ids.Instant(now + self.gather_seconds))
        self.send(held.scheduler.configure(cell, now))
        for server in self.holds.of_cell(cell, now):
            self.send(held.scheduler.hold_back(server, now))
        held.poll_servers()
        return held

    def may_be_served_elsewhere(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> bool:
        """Tell whether another dispatcher may have granted slots of a cell.

        While the members haven't changed, every ticket of a cell is sent to the same
        instance, so the first one has no other grants to wait for.
        """
        if not self.members.peers:
            return False
        is_settled = now - self.members_changed > SETTLED_AFTER
        is_new = ticket.running_on is None and ticket.waited < WAITED_ELSEWHERE
        return not (is_settled and is_new)

    def views_by_pool(self) -> dict[ids.PoolId, list[backendview.BackendView]]:
        """Return the state of the servers that this instance dispatches to, by pool."""
        found: dict[ids.PoolId, list[backendview.BackendView]] = {}
        for held in self.held.values():
            found.setdefault(held.cell.pool, []).extend(held.scheduler.backend_views())
        return found

    def record_membership_change(self) -> None:
        """Record when the set of serving instances changed."""
        self.members_changed = clock.now()
        self.pass_returns_on(self.members_changed)
        for held in self.held.values():
            self.expect_returns(held.scheduler)

    def expect_returns(self, created: scheduler.Scheduler) -> None:
        """Let a scheduler expect promises of another one, if the members changed."""
        created.expect_returns(ids.Instant(self.members_changed + RETURNS_SECONDS))

    def reconfigure(self) -> None:
        """Apply the configuration in force to every served cell."""
        for cell_id, held in list(self.held.items()):
            cell = self.find_cell(cell_id)
            if cell is None:
                cell = cells.Cell(cell_id, held.cell.pool, ())
            if cell != held.cell:
                held.cell = cell
                self.send(held.scheduler.configure(cell, clock.now()))
                held.poll_servers()

    async def tick(self) -> None:
        """Advance the schedulers periodically."""
        stalls = self.members.stalls
        before = stalls.stalled_seconds(clock.now())
        while True:
            if not self.held:
                # There is nothing to decide until a ticket arrives.
                self.has_cells.clear()
                await self.has_cells.wait()
                before = stalls.stalled_seconds(clock.now())
            await asyncio.sleep(TICK_INTERVAL)
            now = clock.now()
            stalled = stalls.stalled_seconds(now)
            if stalled - before > FROZEN_SECONDS:
                self.handle_freeze(now)
            before = stalled
            try:
                self.advance(now)
            except Exception:
                # If this task ended, no ticket would expire and no late work would be
                # noticed any more, in all cells of this instance. A fault in one
                # cell's scheduler mustn't cause that.
                log.exception("dispatcher tick failed")

    def advance(self, now: ids.Instant) -> None:
        """Make the decisions that depend on time alone."""
        self.drop_lost_entries(now)
        for held in self.held.values():
            self.send(held.scheduler.tick(now))
            self.send(held.scheduler.notices(now))
        self.sharing.advance(now)
        self.crossings.advance(now)
        if now >= self.next_release:
            self.next_release = ids.Instant(now + RELEASE_INTERVAL)
            self.release_cells(now)
            self.paths.expire(now)

    def release_cells(self, now: ids.Instant) -> None:
        """Release cells that another instance serves and that have no tickets.

        Without it, each instance that ever received a ticket for a cell, such as
        during a takeover, would poll all its backend servers indefinitely.
        """
        for cell_id, held in list(self.held.items()):
            ranked = self.members.rank(cell_id, now, held.cell.data_centre)
            is_own = bool(ranked) and ranked[0] == self.members.own.instance
            if is_own or held.scheduler.depth() != (0, 0):
                held.needed_at = now
            if now - held.needed_at < RELEASE_AFTER:
                continue
            del self.held[cell_id]
            self.sharing.forget(cell_id)
            held.stop()

    def handle_freeze(self, now: ids.Instant) -> None:
        """Wait for the entries to report their running requests again.

        While this process was frozen, the next in rank may have granted slots that
        are counted as free here.
        """
        for held in self.held.values():
            held.scheduler.gather(ids.Instant(now + self.gather_seconds))

    def drop_lost_entries(self, now: ids.Instant) -> None:
        """Notify the schedulers of entries that are silent or were replaced."""
        for entry, incarnation in list(self.entries.items()):
            if self.is_present(entry, incarnation, now):
                continue
            del self.entries[entry]
            self.paths.forget(entry)
            for held in self.held.values():
                self.send(held.scheduler.lose_entry(entry, now))

    def is_present(
        self, entry: ids.InstanceId, incarnation: ids.Incarnation, now: ids.Instant
    ) -> bool:
        """Tell whether an entry is still the same process, and not silent.

        A leaving entry is present until it's silent, since it finishes its work.
        """
        if entry == self.members.own.instance:
            return True
        member = self.members.peers.get(entry)
        if member is None or member.heartbeat.incarnation != incarnation:
            return False
        return not self.members.is_suspect(member, now)

    def send(self, outgoing: list[scheduler.Outgoing]) -> None:
        """Send decisions to the entries."""
        for out in outgoing:
            self.record(out.message)
            peer = self.members.endpoint_of(out.entry)
            if peer is None:
                log.warning("unknown address of {}, dropped {}", out.entry, out.message)
                continue
            self.transport.send(peer, out.message)

    def record(
        self,
        sent: message.Message,
    ) -> None:
        """Count a decision and close the ticket's span."""
        self.spans.answer(sent)
        if isinstance(sent, messages.Grant):
            self.granted += 1
        elif isinstance(sent, messages.Preempt):
            self.preempted += 1
