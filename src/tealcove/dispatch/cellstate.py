"""The queue and servers of a cell, and the steps that change both."""

from __future__ import annotations

import math

import msgspec

from tealcove import ids
from tealcove.dispatch import (
    alarms,
    choice,
    fleet,
    messages,
    queue,
    scheduler,
    servers,
    shedding,
    suspicion,
)

# Seconds that a request of another dispatcher is given if its entry doesn't say.
UNKNOWN_DEADLINE = 60.0


class CellState:
    """What a scheduler knows; each ticket is queued, holds a slot, or is unknown."""

    def __init__(self) -> None:
        self.queue = queue.Queue()
        self.fleet = fleet.Fleet()
        self.suspicion: suspicion.Suspicion = suspicion.NoSuspicion()
        # When to look for a slot by force, and when to refuse.
        self.risks = alarms.Alarms()
        self.expiries = alarms.Alarms()
        # Queued suspects, which run one at a time.
        self.suspects: dict[ids.TicketId, queue.Waiting] = {}

    def wait(
        self, ticket: messages.Ticket, found: choice.Estimate, now: ids.Instant
    ) -> queue.Waiting:
        """Queue a ticket."""
        is_short = found.tokens <= self.fleet.short_tokens
        deadline = ids.Instant(now + ticket.remaining)
        waiting = queue.Waiting(
            ticket=ticket,
            arrived=ids.Instant(now - ticket.waited),
            deadline=deadline,
            start_by=start_by(deadline, found),
            risk_from=risk_from(deadline, found),
            lane=queue.Lane(is_short, ticket.idempotent),
            seconds=found.loaded,
            told=now,
            had_slack=ticket.remaining + ticket.waited
            > found.loaded + choice.DEADLINE_MARGIN + shedding.LEAD,
        )
        if is_short:
            self.fleet.short_seconds += found.loaded
        if self.suspicion.is_suspect(ticket.digest):
            waiting.lane = queue.SUSPECTS
        self.enter(waiting)
        return waiting

    def enter(self, waiting: queue.Waiting) -> None:
        """Put a ticket into the queue and where else it has to stand."""
        if waiting.lane.is_suspect:
            self.suspects[waiting.ticket.ticket_id] = waiting
        self.queue.add(waiting)
        self.risks.add(waiting.risk_from, waiting)
        self.expiries.add(waiting.start_by, waiting)

    def change_lane(self, waiting: queue.Waiting) -> None:
        """Let a queued ticket run alone from now on, or no longer."""
        self.leave(waiting)
        lane = queue.SUSPECTS
        if waiting.lane.is_suspect:
            lane = queue.Lane(False, waiting.ticket.idempotent)
        # A new entry: the old one still stands in its old lane's heap.
        self.enter(msgspec.structs.replace(waiting, lane=lane))

    def leave(self, waiting: queue.Waiting) -> None:
        """Take a ticket out of the queue."""
        ticket_id = waiting.ticket.ticket_id
        self.queue.remove(ticket_id)
        self.suspects.pop(ticket_id, None)

    def grant(
        self, waiting: queue.Waiting, server: servers.ServerState, now: ids.Instant
    ) -> scheduler.Outgoing:
        """Give a slot to a queued ticket."""
        ticket = waiting.ticket
        running = describe(waiting, server, now)
        self.queue.charge(ticket, running.charged)
        self.leave(waiting)
        self.fleet.start(server, running, now)
        server.index.record_grant(ticket.prefix)
        return self.tell_grant(ticket, server)

    def tell_grant(
        self, ticket: messages.Ticket, server: servers.ServerState
    ) -> scheduler.Outgoing:
        """Return the message that a ticket holds a slot."""
        grant = messages.Grant(
            ticket_id=ticket.ticket_id,
            cell=ticket.cell,
            server=server.name,
            host=server.spec.host,
            port=server.spec.port,
            alone=server.isolated == ticket.ticket_id,
            revision=self.fleet.revision,
        )
        return scheduler.Outgoing(ticket.entry, grant)

    def refuse(
        self, waiting: queue.Waiting, reason: messages.RefusalReason
    ) -> scheduler.Outgoing:
        """Take a ticket out of the queue for good."""
        self.leave(waiting)
        return self.tell_refusal(waiting.ticket, reason)

    def tell_refusal(
        self, ticket: messages.Ticket, reason: messages.RefusalReason
    ) -> scheduler.Outgoing:
        """Return the message that a ticket won't get a slot."""
        after = shedding.retry_after(self.queue, self.fleet, ticket.tier_rank)
        refusal = messages.Refusal(
            ticket_id=ticket.ticket_id, reason=reason, retry_after=after
        )
        return scheduler.Outgoing(ticket.entry, refusal)

    def adopt(self, ticket: messages.Ticket, now: ids.Instant) -> None:
        """Take in a request that another dispatcher granted."""
        queued = self.queue.tickets.get(ticket.ticket_id)
        if queued is not None:
            self.leave(queued)
        server = self.fleet.servers.get(ticket.running_on)
        if server is None:
            return
        if ticket.ticket_id in server.running:
            server.running[ticket.ticket_id].tell(ticket, now)
            return
        self.fleet.end(ticket.ticket_id, now)
        tokens = ticket.prompt_tokens + ticket.output_tokens
        remaining = ticket.remaining or UNKNOWN_DEADLINE
        running = servers.Running(
            ticket=ticket,
            started=now,
            deadline=ids.Instant(now + remaining),
            is_short=tokens <= self.fleet.short_tokens,
            uncached=float(ticket.prompt_tokens),
            told=now,
        )
        self.fleet.start(server, running, now)
        server.index.record_grant(ticket.prefix)

    def end(
        self, ticket_id: ids.TicketId, now: ids.Instant, tokens: float = 0.0
    ) -> tuple[servers.ServerState, servers.Running] | None:
        """Take a slot back, and charge the account only for what was used."""
        ended = self.fleet.end(ticket_id, now)
        if ended is not None:
            running = ended[1]
            self.queue.charge(running.ticket, min(0.0, tokens - running.charged))
        return ended


def start_by(deadline: ids.Instant, found: choice.Estimate) -> ids.Instant:
    """Return the last instant to start a ticket on a server with a full batch."""
    return ids.Instant(deadline - choice.DEADLINE_MARGIN - found.loaded)


def risk_from(deadline: ids.Instant, found: choice.Estimate) -> ids.Instant:
    """Return from when on a slot is looked for by force.

    While the slower servers could still end the ticket in time. Counted from the
    fastest one, only its slots would be left to look for, and those may all have
    work of the same tier: the ticket would be refused while slower servers go on
    with work of lower tiers.
    """
    seconds = max(found.loaded, found.slowest) + shedding.LEAD
    return ids.Instant(deadline - choice.DEADLINE_MARGIN - seconds)


def describe(
    waiting: queue.Waiting, server: servers.ServerState, now: ids.Instant
) -> servers.Running:
    """Return what is remembered of a ticket while it holds a slot."""
    ticket = waiting.ticket
    uncached = server.uncached_tokens(ticket)
    first = expected = math.inf
    if server.is_known:
        others = server.spec.slots - 1.0
        first = server.model.prefill.at(uncached)
        expected = server.model.predict(uncached, ticket.output_tokens, others)
    return servers.Running(
        ticket=ticket,
        started=now,
        deadline=waiting.deadline,
        told=now,
        is_short=waiting.lane.is_short,
        uncached=uncached,
        expected_first=first,
        expected=expected,
        charged=uncached + ticket.output_tokens,
    )
