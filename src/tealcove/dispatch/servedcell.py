"""A cell that this instance serves, with the polling of its servers."""

from __future__ import annotations

import asyncio
import functools
import itertools
from collections.abc import Callable

import msgspec

from tealcove import clock, ids, tasks
from tealcove.backends import engine
from tealcove.dispatch import cells, reading, scheduler

# Load reports per read of an engine's loaded models and cache events.
REPORTS_PER_STATE_READ = 2

Send = Callable[[list[scheduler.Outgoing]], None]
# Receives a server, whether this instance reached it, and the time.
RecordPoll = Callable[[ids.BackendServerId, bool, ids.Instant], None]


class Poll(msgspec.Struct, frozen=True):
    """The task that polls one server, and the server's address."""

    server: engine.Server
    task: asyncio.Task[None]


class ServedCell:
    """The scheduler of a cell, with a polling task for each backend server."""

    def __init__(
        self,
        cell: cells.Cell,
        cell_scheduler: scheduler.Scheduler,
        reader: reading.Reader,
        poll_interval: float,
        send: Send,
        record_poll: RecordPoll,
    ) -> None:
        self.cell = cell
        self.scheduler = cell_scheduler
        self.reader = reader
        self.poll_interval = poll_interval
        self.send = send
        self.record_poll = record_poll
        self.polls: dict[ids.BackendServerId, Poll] = {}
        # The models and adapters that each engine was last seen to have loaded.
        self.holdings: reading.Holdings = {}
        # When a server was last reported lost; older readings are ignored.
        self.lost_at: dict[ids.BackendServerId, ids.Instant] = {}
        # When the cell last had tickets or was assigned to this instance.
        self.needed_at = clock.now()

    def stop(self) -> None:
        """Stop polling the servers."""
        for poll in self.polls.values():
            poll.task.cancel()
        self.polls.clear()

    def poll_servers(self) -> None:
        """Start and stop polling tasks, so that each server of the cell has one.

        There are none with an interval of 0, for servers that report their state by
        other means and where each poll has a cost.
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
            # A server with a new address is another process: readings from the old
            # address don't apply to it.
            if wanted.get(name) != poll.server:
                poll.task.cancel()
                del self.polls[name]
                self.holdings.pop(name, None)
        for name, server in wanted.items():
            if name not in self.polls:
                task = tasks.start_loop(
                    functools.partial(self.poll, server), f"poll of {name}"
                )
                self.polls[name] = Poll(server, task)

    async def poll(self, server: engine.Server) -> None:
        """Read a server's load, state and cache events periodically."""
        for number in itertools.count():
            began = clock.now()
            load = await self.reader.load(server)
            if began > self.lost_at.get(server.name, began - 1.0):
                now = clock.now()
                self.record_poll(server.name, load is not None, now)
                self.send(self.scheduler.report(server.name, load, now))
            # A plain service would handle the query as a request for one of its paths.
            may_ask = load is not None and self.cell.has_engines
            if may_ask and number % REPORTS_PER_STATE_READ == 0:
                await self.read_engine(server)
            await asyncio.sleep(self.poll_interval)

    async def read_engine(self, server: engine.Server) -> None:
        """Read an engine's loaded models and the changes of its prefix cache."""
        holding = await self.reader.holding(server)
        if holding is not None:
            self.holdings[server.name] = holding
        after = self.scheduler.last_event(server.name)
        events = await self.reader.events(server, after)
        if events is not None:
            self.send(self.scheduler.cached(server.name, events, clock.now()))
