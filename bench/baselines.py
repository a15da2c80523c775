"""Baseline policies, which grant every ticket at once and ignore tiers."""

from __future__ import annotations

import abc
import itertools
import random

import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import cells, messages, scheduler
from tealcove.resources import kinds

RETRY_AFTER = 1.0
SEED = 1


class Server(msgspec.Struct):
    """A backend server, its last load report and its reachability."""

    spec: kinds.BackendServerSpec
    load: engine.LoadReport | None = None
    reachable: bool = True

    @property
    def name(self) -> ids.BackendServerId:
        """The server's name."""
        return ids.BackendServerId(self.spec.name)

    def is_available(self) -> bool:
        """Return whether the server is serving and reachable, whatever its load."""
        is_serving = self.spec.state is kinds.ServerState.SERVING
        is_leaving = self.load is not None and self.load.state == "leaving"
        return is_serving and self.reachable and not is_leaving


class ImmediateScheduler(scheduler.Scheduler):
    """Grants every ticket at once, so that requests queue in the engines."""

    def __init__(self) -> None:
        self.servers: dict[ids.BackendServerId, Server] = {}
        self.random = random.Random(SEED)

    @abc.abstractmethod
    def choose(self, servers: list[Server]) -> Server:
        """Return one of the servers; the list is never empty."""

    def configure(self, cell: cells.Cell, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        known = self.servers
        self.servers = {}
        for spec in cell.servers:
            server = known.get(ids.BackendServerId(spec.name), Server(spec))
            server.spec = spec
            self.servers[server.name] = server
        return []

    def enqueue(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        if ticket.running_on is not None:
            return []
        return [scheduler.Outgoing(ticket.entry, self.grant_or_refuse(ticket))]

    def grant_or_refuse(
        self, ticket: messages.Ticket
    ) -> messages.Grant | messages.Refusal:
        """Return a grant, or a refusal when no server is available."""
        available = [
            server
            for server in self.servers.values()
            if server.is_available() and server.name not in ticket.excluded
        ]
        if not available:
            return messages.Refusal(
                ticket_id=ticket.ticket_id,
                reason=messages.RefusalReason.NO_BACKEND_SERVER,
                retry_after=RETRY_AFTER,
            )
        chosen = self.choose(available)
        return messages.Grant(
            ticket_id=ticket.ticket_id,
            cell=ticket.cell,
            server=chosen.name,
            host=chosen.spec.host,
            port=chosen.spec.port,
        )

    def withdraw(
        self, ticket_id: ids.TicketId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        return []

    def progress(
        self, progress: messages.Progress, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        return []

    def done(self, done: messages.Done, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server = self.servers.get(done.server)
        if server is not None and done.outcome is messages.Outcome.NOT_SENT:
            server.reachable = False
        return []

    def report(
        self,
        server: ids.BackendServerId,
        load: engine.LoadReport | None,
        now: ids.Instant,
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        state = self.servers.get(server)
        if state is not None:
            state.reachable = load is not None
            state.load = load
        return []

    def lose_entry(
        self, entry: ids.InstanceId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        return []

    def tick(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        return []


class RandomScheduler(ImmediateScheduler):
    """Chooses a random server."""

    def choose(self, servers: list[Server]) -> Server:
        """See ImmediateScheduler."""
        return self.random.choice(servers)


class RoundRobinScheduler(ImmediateScheduler):
    """Chooses the servers in turn."""

    def __init__(self) -> None:
        super().__init__()
        self.counter = itertools.count()

    def choose(self, servers: list[Server]) -> Server:
        """See ImmediateScheduler."""
        return servers[next(self.counter) % len(servers)]


class LeastLoadScheduler(ImmediateScheduler):
    """Chooses the server with the least reported work per slot."""

    def choose(self, servers: list[Server]) -> Server:
        """See ImmediateScheduler."""
        least = min(load_per_slot(server) for server in servers)
        return self.random.choice([s for s in servers if load_per_slot(s) == least])


def load_per_slot(server: Server) -> float:
    """Return the reported requests per slot; 0 for a server without a report."""
    if server.load is None:
        return 0.0
    return (server.load.running + server.load.waiting) / server.load.slots
