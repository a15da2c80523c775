"""The dispatcher role of an instance: the cells that it serves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from tealcove import clock, errors, ids
from tealcove.backends import engine
from tealcove.dispatch import cells, messages, scheduler
from tealcove.membership import members
from tealcove.peers import mesh

log = logbook.Logger("dispatch")

TICK_INTERVAL = 0.05

FindCell = Callable[[ids.CellId], cells.Cell | None]


class HeldCell:
    """A cell that this instance serves, with a task for each backend server."""

    def __init__(self, cell: cells.Cell, decider: scheduler.Scheduler) -> None:
        self.cell = cell
        self.decider = decider
        self.polls: dict[ids.BackendServerId, asyncio.Task[None]] = {}


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
    ) -> None:
        self.transport = transport
        self.members = known
        self.find_cell = find_cell
        self.new_scheduler = new_scheduler
        self.engines = engines
        self.poll_interval = poll_interval
        self.held: dict[ids.CellId, HeldCell] = {}
        self.ticker: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to take tickets."""
        self.transport.handle(messages.Ticket, self.take_ticket)
        self.transport.handle(messages.Withdrawal, self.take_withdrawal)
        self.transport.handle(messages.Progress, self.take_progress)
        self.transport.handle(messages.Done, self.take_done)
        self.ticker = asyncio.create_task(self.tick())

    async def stop(self) -> None:
        """End all tasks."""
        tasks = [self.ticker]
        for held in self.held.values():
            tasks.extend(held.polls.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def take_ticket(self, sender: ids.InstanceId, ticket: messages.Ticket) -> None:
        """Queue a ticket, or refuse it when its cell isn't known here."""
        held = self.hold(ticket.cell)
        if held is None:
            refusal = messages.Refusal(
                ticket_id=ticket.ticket_id,
                reason=messages.RefusalReason.NO_BACKEND_SERVER,
                retry_after=1.0,
            )
            self.send([scheduler.Outgoing(ticket.entry, refusal)])
            return
        self.send(held.decider.enqueue(ticket, clock.now()))

    def take_withdrawal(
        self, sender: ids.InstanceId, withdrawal: messages.Withdrawal
    ) -> None:
        """Forget a ticket."""
        held = self.held.get(withdrawal.cell)
        if held is not None:
            self.send(held.decider.withdraw(withdrawal.ticket_id, clock.now()))

    def take_progress(
        self, sender: ids.InstanceId, progress: messages.Progress
    ) -> None:
        """Learn of a first token."""
        held = self.held.get(progress.cell)
        if held is not None:
            self.send(held.decider.progress(progress, clock.now()))

    def take_done(self, sender: ids.InstanceId, done: messages.Done) -> None:
        """Learn that a slot is free."""
        held = self.held.get(done.cell)
        if held is not None:
            self.send(held.decider.done(done, clock.now()))

    def hold(self, cell_id: ids.CellId) -> HeldCell | None:
        """Return a cell, served from now on; None when it doesn't exist."""
        held = self.held.get(cell_id)
        if held is not None:
            return held
        cell = self.find_cell(cell_id)
        if cell is None:
            return None
        held = HeldCell(cell, self.new_scheduler())
        self.held[cell_id] = held
        self.send(held.decider.configure(cell, clock.now()))
        self.poll_servers(held)
        return held

    def reconfigure(self) -> None:
        """Bring every held cell to the configuration now in force."""
        for cell_id, held in list(self.held.items()):
            cell = self.find_cell(cell_id)
            if cell is None:
                cell = cells.Cell(cell_id, held.cell.pool, ())
            if cell != held.cell:
                held.cell = cell
                self.send(held.decider.configure(cell, clock.now()))
                self.poll_servers(held)

    def poll_servers(self, held: HeldCell) -> None:
        """Have one task that polls for each server of the cell."""
        wanted = {ids.BackendServerId(s.name): s for s in held.cell.servers}
        for name in list(held.polls):
            if name not in wanted:
                held.polls.pop(name).cancel()
        for name, spec in wanted.items():
            if name not in held.polls:
                server = engine.Server(name, spec.host, spec.port)
                poll = self.poll(held, server)
                held.polls[name] = asyncio.create_task(poll)

    async def poll(self, held: HeldCell, server: engine.Server) -> None:
        """Read a server's load report again and again."""
        while True:
            try:
                load = await self.engines.load(server)
            except errors.BackendError as error:
                log.debug("no load report: {}", error)
                load = None
            self.send(held.decider.report(server.name, load, clock.now()))
            await asyncio.sleep(self.poll_interval)

    async def tick(self) -> None:
        """Let the schedulers see time pass."""
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            now = clock.now()
            for held in self.held.values():
                self.send(held.decider.tick(now))

    def send(self, outgoing: list[scheduler.Outgoing]) -> None:
        """Tell the entries what was decided."""
        for out in outgoing:
            peer = self.members.endpoint_of(out.entry)
            if peer is None:
                log.warning("no address of {} for {}", out.entry, out.message)
                continue
            self.transport.send(peer, out.message)
