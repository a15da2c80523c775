"""The scheduler that holds the queue back and protects higher tiers."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import cells, messages, scheduler, speed
from tealcove.resources import kinds

RETRY_AFTER = 1.0


class Waiting(msgspec.Struct):
    """A ticket in the queue."""

    ticket: messages.Ticket
    arrived: ids.Instant
    deadline: ids.Instant


class Running(msgspec.Struct):
    """A ticket that holds a slot."""

    ticket: messages.Ticket
    started: ids.Instant


class ServerState(msgspec.Struct):
    """A backend server, as its dispatcher sees it."""

    spec: kinds.BackendServerSpec
    speed: speed.Speed
    running: dict[ids.TicketId, Running]
    reachable: bool = True
    leaving: bool = False

    def takes_work(self) -> bool:
        """Tell whether new work may go to the server."""
        wanted = self.spec.state is kinds.ServerState.SERVING
        free = len(self.running) < self.spec.slots
        return wanted and free and self.reachable and not self.leaving


class FairScheduler(scheduler.Scheduler):
    """One queue by tier; the server that ends the work soonest gets it."""

    def __init__(self) -> None:
        self.cell: cells.Cell | None = None
        self.servers: dict[ids.BackendServerId, ServerState] = {}
        self.queue: dict[ids.TicketId, Waiting] = {}

    def configure(self, cell: cells.Cell, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.cell = cell
        names = {server.name for server in cell.servers}
        for spec in cell.servers:
            name = ids.BackendServerId(spec.name)
            if name in self.servers:
                self.servers[name].spec = spec
            else:
                self.servers[name] = ServerState(spec, speed.Speed(), {})
        for name in list(self.servers):
            if name not in names:
                del self.servers[name]
        return self.assign(now)

    def enqueue(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        if ticket.running_on is not None:
            server = self.servers.get(ticket.running_on)
            if server is not None:
                server.running[ticket.ticket_id] = Running(ticket, now)
            return []
        if ticket.ticket_id in self.queue or self.holds(ticket.ticket_id):
            return []
        deadline = ids.Instant(now + ticket.remaining)
        self.queue[ticket.ticket_id] = Waiting(ticket, now, deadline)
        queued = scheduler.Outgoing(
            ticket.entry, messages.Queued(ticket_id=ticket.ticket_id)
        )
        return [queued, *self.assign(now)]

    def holds(self, ticket_id: ids.TicketId) -> bool:
        """Tell whether a ticket was granted a slot that it still has."""
        return any(ticket_id in server.running for server in self.servers.values())

    def withdraw(
        self, ticket_id: ids.TicketId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.queue.pop(ticket_id, None)
        for server in self.servers.values():
            server.running.pop(ticket_id, None)
        return self.assign(now)

    def progress(
        self, progress: messages.Progress, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        return []

    def done(self, done: messages.Done, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server = self.servers.get(done.server)
        if server is not None:
            server.running.pop(done.ticket_id, None)
            if done.outcome is messages.Outcome.COMPLETED:
                server.speed.observe(
                    done.prompt_tokens - done.cached_tokens,
                    done.output_tokens,
                    done.first_token_seconds,
                    done.total_seconds,
                )
            if done.outcome is messages.Outcome.NOT_SENT:
                server.reachable = False
        return self.assign(now)

    def report(
        self,
        server: ids.BackendServerId,
        load: engine.LoadReport | None,
        now: ids.Instant,
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        state = self.servers.get(server)
        if state is None:
            return []
        state.reachable = load is not None
        if load is not None:
            state.leaving = load.state == "leaving"
        return self.assign(now)

    def lose_entry(
        self, entry: ids.InstanceId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        for ticket_id, waiting in list(self.queue.items()):
            if waiting.ticket.entry == entry:
                del self.queue[ticket_id]
        for server in self.servers.values():
            for ticket_id, running in list(server.running.items()):
                if running.ticket.entry == entry:
                    del server.running[ticket_id]
        return self.assign(now)

    def tick(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        return self.assign(now)

    def assign(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """Refuse what can't end in time and grant free slots."""
        outgoing = self.refuse_late(now)
        for waiting in sorted(self.queue.values(), key=order):
            server = self.choose(waiting.ticket)
            if server is not None:
                outgoing.append(self.grant(waiting, server, now))
        return outgoing

    def refuse_late(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """Refuse every ticket that no server could end in time."""
        late = [w for w in self.queue.values() if self.is_late(w, now)]
        return [self.refuse(w, messages.RefusalReason.DEADLINE) for w in late]

    def is_late(self, waiting: Waiting, now: ids.Instant) -> bool:
        """Tell whether even the fastest server would end it too late."""
        needed = min(
            (self.predict(waiting.ticket, s) for s in self.servers.values()),
            default=0.0,
        )
        return now + needed > waiting.deadline

    def refuse(
        self, waiting: Waiting, reason: messages.RefusalReason
    ) -> scheduler.Outgoing:
        """Take a ticket out of the queue for good."""
        ticket = waiting.ticket
        del self.queue[ticket.ticket_id]
        refusal = messages.Refusal(
            ticket_id=ticket.ticket_id, reason=reason, retry_after=RETRY_AFTER
        )
        return scheduler.Outgoing(ticket.entry, refusal)

    def predict(self, ticket: messages.Ticket, server: ServerState) -> float:
        """Return the seconds that a server would need for a ticket."""
        return server.speed.predict(ticket.prompt_tokens, ticket.output_tokens)

    def choose(self, ticket: messages.Ticket) -> ServerState | None:
        """Return the free server that would end the work soonest."""
        free = [
            server
            for name, server in self.servers.items()
            if server.takes_work() and name not in ticket.excluded
        ]
        return min(free, key=lambda s: self.predict(ticket, s), default=None)

    def grant(
        self, waiting: Waiting, server: ServerState, now: ids.Instant
    ) -> scheduler.Outgoing:
        """Give a slot to a ticket."""
        ticket = waiting.ticket
        del self.queue[ticket.ticket_id]
        server.running[ticket.ticket_id] = Running(ticket, now)
        grant = messages.Grant(
            ticket_id=ticket.ticket_id,
            cell=ticket.cell,
            server=ids.BackendServerId(server.spec.name),
            host=server.spec.host,
            port=server.spec.port,
        )
        return scheduler.Outgoing(ticket.entry, grant)


def order(waiting: Waiting) -> tuple[int, float]:
    """Return the key of the queue's order: tier, then deadline."""
    return (waiting.ticket.tier_rank, waiting.deadline)
