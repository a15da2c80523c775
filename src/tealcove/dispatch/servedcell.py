"""A cell that this instance serves, and what it reads of the cell's servers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from tealcove import clock, ids, tasks
from tealcove.backends import engine
from tealcove.dispatch import cells, reading, scheduler

# Load reports between two readings of an engine's state and cache events.
REPORTS_PER_STATE_READ = 2

Send = Callable[[list[scheduler.Outgoing]], None]


class Poll(msgspec.Struct, frozen=True):
    """The task that reads one server, and the address that it reads."""

    server: engine.Server
    task: asyncio.Task[None]


class ServedCell:
    """The scheduler of a cell, with a task that polls for each backend server."""

    def __init__(
        self,
        cell: cells.Cell,
        cell_scheduler: scheduler.Scheduler,
        reader: reading.Reader,
        poll_interval: float,
        send: Send,
    ) -> None:
        self.cell = cell
        self.scheduler = cell_scheduler
        self.reader = reader
        self.poll_interval = poll_interval
        self.send = send
        self.polls: dict[ids.BackendServerId, Poll] = {}
        # What each engine has loaded, as far as it's known.
        self.holdings: reading.Holdings = {}
        # When a server was last found to be lost; older readings don't count.
        self.lost_at: dict[ids.BackendServerId, ids.Instant] = {}
        # When it was last seen to have tickets, or to belong to this instance.
        self.needed_at = clock.now()

    def stop(self) -> None:
        """Read the servers no more."""
        for poll in self.polls.values():
            poll.task.cancel()
        self.polls.clear()

    def poll_servers(self) -> None:
        """Have one task that polls for each server of the cell.

        None with an interval of 0, where servers tell of themselves otherwise and
        each poll is paid for.
        """
        if self.poll_interval == 0.0:
            return
        wanted = {
            ids.BackendServerId(spec.name): engine.Server(
                ids.BackendServerId(spec.name), spec.host, spec.port
            )
            for spec in self.cell.servers
        }
        for name, poll in list(self.polls.items()):
            # A server that has moved is another process: what was read at the old
            # address says nothing of it.
            if wanted.get(name) != poll.server:
                poll.task.cancel()
                del self.polls[name]
                self.holdings.pop(name, None)
        for name, server in wanted.items():
            if name not in self.polls:
                task = tasks.start(self.poll(server), f"poll of {name}")
                self.polls[name] = Poll(server, task)

    async def poll(self, server: engine.Server) -> None:
        """Read a server's load, health and cache events again and again."""
        for number in itertools.count():
            began = clock.now()
            load = await self.reader.load(server)
            if began > self.lost_at.get(server.name, began - 1.0):
                self.send(self.scheduler.report(server.name, load, clock.now()))
            # A plain service would take the question for a call of one of its paths.
            may_ask = load is not None and self.cell.has_engines
            if may_ask and number % REPORTS_PER_STATE_READ == 0:
                await self.read_engine(server)
            await asyncio.sleep(self.poll_interval)

    async def read_engine(self, server: engine.Server) -> None:
        """Read what an engine has loaded and what changed in its prefix cache."""
        holding = await self.reader.holding(server)
        if holding is not None:
            self.holdings[server.name] = holding
        after = self.scheduler.last_event(server.name)
        events = await self.reader.events(server, after)
        if events is not None:
            self.send(self.scheduler.cached(server.name, events, clock.now()))
