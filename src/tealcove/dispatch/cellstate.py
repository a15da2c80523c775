"""The queue and servers of a cell, and the operations that change both."""

from __future__ import annotations

import math

import msgspec

from tealcove import ids
from tealcove.dispatch import (
    alarms,
    choice,
    fleet,
    messages,
    paths,
    queue,
    scheduler,
    servers,
    shedding,
    suspicion,
)

# Assumed seconds to the deadline of an adopted request whose ticket has none left.
UNKNOWN_DEADLINE = 60.0


class CellState:
    """The state of a scheduler; a ticket is queued, holds a slot, or is unknown."""

    def __init__(self) -> None:
        self.queue = queue.Queue()
        self.fleet = fleet.Fleet()
        self.suspicion: suspicion.Suspicion = suspicion.NoSuspicion()
        self.paths: paths.Paths = paths.NoEvidence()
        # When to start looking for a slot to preempt, and when to refuse.
        self.risks = alarms.Alarms()
        self.expiries = alarms.Alarms()
        # Queued tickets suspected of crashing servers; they run one at a time.
        self.suspects: dict[ids.TicketId, queue.WaitingTicket] = {}

    def queue_ticket(
        self, ticket: messages.Ticket, predicted: choice.Estimate, now: ids.Instant
    ) -> queue.WaitingTicket:
        """Queue a ticket."""
        is_short = predicted.tokens <= self.fleet.short_tokens
        deadline = ids.Instant(now + ticket.remaining)
        waiting = queue.WaitingTicket(
            ticket=ticket,
            arrived=ids.Instant(now - ticket.waited),
            deadline=deadline,
            start_by=start_by(deadline, predicted),
            risk_from=risk_from(deadline, predicted),
            lane=queue.Lane(is_short, ticket.idempotent),
            service_seconds=predicted.loaded,
            refreshed_at=now,
            had_slack=ticket.remaining + ticket.waited
            > predicted.loaded + choice.DEADLINE_MARGIN + shedding.RISK_LEAD,
        )
        if is_short:
            self.fleet.short_seconds += predicted.loaded
        if self.suspicion.suspects(ticket, now).must_run_alone:
            waiting.lane = queue.SUSPECTS
        self.add_to_queue(waiting)
        return waiting

    def add_to_queue(self, waiting: queue.WaitingTicket) -> None:
        """Add a ticket to the queue, the alarms and, if suspect, the suspects."""
        if waiting.lane.is_suspect:
            self.suspects[waiting.ticket.ticket_id] = waiting
        self.queue.add(waiting)
        self.risks.add(waiting.risk_from, waiting)
        self.expiries.add(waiting.start_by, waiting)

    def change_lane(self, waiting: queue.WaitingTicket) -> None:
        """Move a queued ticket to the suspects' lane, or out of it."""
        self.remove_from_queue(waiting)
        lane = queue.SUSPECTS
        if waiting.lane.is_suspect:
            lane = queue.Lane(False, waiting.ticket.idempotent)
        # A new object: the old one stays in its lane's heap until it's skipped.
        self.add_to_queue(msgspec.structs.replace(waiting, lane=lane))

    def remove_from_queue(self, waiting: queue.WaitingTicket) -> None:
        """Remove a ticket from the queue."""
        ticket_id = waiting.ticket.ticket_id
        self.queue.remove(ticket_id)
        self.suspects.pop(ticket_id, None)

    def grant(
        self,
        waiting: queue.WaitingTicket,
        server: servers.ServerState,
        now: ids.Instant,
    ) -> scheduler.Outgoing:
        """Grant a slot to a queued ticket and charge its account."""
        ticket = waiting.ticket
        running = new_running(waiting, server, now)
        self.queue.charge(ticket, running.charged)
        self.remove_from_queue(waiting)
        self.fleet.start(server, running, now)
        server.index.record_grant(ticket.prefix)
        return self.grant_message(ticket, server)

    def grant_message(
        self, ticket: messages.Ticket, server: servers.ServerState
    ) -> scheduler.Outgoing:
        """Return the message that grants a ticket its slot."""
        grant = messages.Grant(
            ticket_id=ticket.ticket_id,
            cell=ticket.cell,
            server=server.name,
            host=server.spec.host,
            port=server.spec.port,
            alone=server.isolated_ticket == ticket.ticket_id,
            revision=self.fleet.revision,
            version=server.spec.version,
        )
        return scheduler.Outgoing(ticket.entry, grant)

    def refuse(
        self, waiting: queue.WaitingTicket, reason: messages.RefusalReason
    ) -> scheduler.Outgoing:
        """Remove a ticket from the queue and return its refusal."""
        self.remove_from_queue(waiting)
        return self.refusal_message(waiting.ticket, reason)

    def refusal_message(
        self, ticket: messages.Ticket, reason: messages.RefusalReason
    ) -> scheduler.Outgoing:
        """Return the message that refuses a ticket a slot."""
        after = shedding.retry_after(self.queue, self.fleet, ticket.tier_rank)
        refusal = messages.Refusal(
            ticket_id=ticket.ticket_id, reason=reason, retry_after=after
        )
        return scheduler.Outgoing(ticket.entry, refusal)

    def adopt(self, ticket: messages.Ticket, now: ids.Instant) -> None:
        """Record a running request that another dispatcher granted."""
        queued = self.queue.tickets.get(ticket.ticket_id)
        if queued is not None:
            self.remove_from_queue(queued)
        server = self.fleet.servers.get(ticket.running_on)
        if server is None:
            return
        if ticket.ticket_id in server.running:
            server.running[ticket.ticket_id].refresh(ticket, now)
            return
        self.fleet.end(ticket.ticket_id, now)
        tokens = ticket.prompt_tokens + ticket.output_tokens
        remaining = ticket.remaining or UNKNOWN_DEADLINE
        running = servers.RunningTicket(
            ticket=ticket,
            started=now,
            deadline=ids.Instant(now + remaining),
            is_short=tokens <= self.fleet.short_tokens,
            uncached=float(ticket.prompt_tokens),
            refreshed_at=now,
        )
        self.fleet.start(server, running, now)
        server.index.record_grant(ticket.prefix)

    def record_unreachable(self, server: servers.ServerState, now: ids.Instant) -> None:
        """Give a server no work until it is reached, unless only a path was lost."""
        if self.paths.is_unreachable(server.name, now):
            server.reachable = False

    def end(
        self, ticket_id: ids.TicketId, now: ids.Instant, tokens: float = 0.0
    ) -> tuple[servers.ServerState, servers.RunningTicket] | None:
        """Release a slot and refund the account the tokens that weren't used."""
        ended = self.fleet.end(ticket_id, now)
        if ended is not None:
            running = ended[1]
            self.queue.charge(running.ticket, min(0.0, tokens - running.charged))
        return ended


def start_by(deadline: ids.Instant, predicted: choice.Estimate) -> ids.Instant:
    """Return the latest start at which the best server ends a ticket in time.

    Predicted for a full batch.
    """
    return ids.Instant(deadline - choice.DEADLINE_MARGIN - predicted.loaded)


def risk_from(deadline: ids.Instant, predicted: choice.Estimate) -> ids.Instant:
    """Return the instant from which lower tiers may be preempted for a ticket.

    It's early enough for the slower servers to end the ticket in time. Computed for
    the fastest server, only that server's slots would qualify, and those may all run
    work of the same tier: the ticket would be refused while slower servers run work
    of lower tiers.
    """
    seconds = max(predicted.loaded, predicted.slowest) + shedding.RISK_LEAD
    return ids.Instant(deadline - choice.DEADLINE_MARGIN - seconds)


def new_running(
    waiting: queue.WaitingTicket, server: servers.ServerState, now: ids.Instant
) -> servers.RunningTicket:
    """Return the record of a ticket that is granted a slot."""
    ticket = waiting.ticket
    uncached = server.uncached_tokens(ticket)
    first = expected_total = math.inf
    if server.is_known:
        others = server.spec.slots - 1.0
        first = server.model.prefill.value_at(uncached)
        expected_total = server.model.predict(uncached, ticket.output_tokens, others)
    return servers.RunningTicket(
        ticket=ticket,
        started=now,
        deadline=waiting.deadline,
        refreshed_at=now,
        is_short=waiting.lane.is_short,
        uncached=uncached,
        expected_first=first,
        expected_total=expected_total,
        charged=uncached + ticket.output_tokens,
    )
