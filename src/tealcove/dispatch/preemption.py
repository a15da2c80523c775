"""Preemption for tickets near their latest start, and refusal of late ones."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import (
    cellstate,
    choice,
    messages,
    queue,
    scheduler,
    servers,
    shedding,
)

# A refusal is postponed when current speeds give a ticket more seconds than this.
LEAST_POSTPONEMENT = 0.01


class Preemption:
    """Finds slots for the tickets that are near their latest start."""

    def __init__(self, state: cellstate.CellState) -> None:
        self.state = state
        self.at_risk: dict[ids.TicketId, queue.WaitingTicket] = {}

    def advance(self, now: ids.Instant, is_gathering: bool) -> list[scheduler.Outgoing]:
        """Preempt lower tiers for tickets at risk, and refuse tickets that are late.

        A ticket at risk gets a free slot even while running requests of another
        dispatcher are being gathered: the slot may turn out to be taken, but without
        it the ticket would surely be too late.
        """
        outgoing: list[scheduler.Outgoing] = []
        for waiting in self.state.risks.due(now):
            self.at_risk[waiting.ticket.ticket_id] = waiting
        if self.at_risk:
            outgoing.extend(self.find_slots(now, is_gathering))
        for waiting in self.state.expiries.due(now):
            outgoing.extend(self.expire(waiting, now))
        return outgoing

    def find_slots(
        self, now: ids.Instant, is_gathering: bool
    ) -> list[scheduler.Outgoing]:
        """Find slots for the tickets at risk, highest tier first."""
        outgoing = []
        ahead = 0
        for ticket_id, waiting in sorted(self.at_risk.items(), key=risk_order):
            if not waiting.is_queued:
                del self.at_risk[ticket_id]
                continue
            message = self.find_slot(waiting, ahead, now, is_gathering)
            ahead += 1
            if message is not None:
                outgoing.append(message)
        return outgoing

    def find_slot(
        self,
        waiting: queue.WaitingTicket,
        ahead: int,
        now: ids.Instant,
        is_gathering: bool,
    ) -> scheduler.Outgoing | None:
        """Grant a ticket a free slot, or preempt a request of a lower tier for it."""
        rank = waiting.ticket.tier_rank
        fleet = self.state.fleet
        if waiting.lane.is_suspect or now < waiting.next_attempt:
            return None
        has_lower = fleet.runs_below(rank) or self.state.queue.has_below(rank)
        if not (has_lower or is_gathering):
            return None
        if fleet.at_non_idempotent_limit(rank, waiting.lane.idempotent):
            return None
        waiting.next_attempt = ids.Instant(now + shedding.PREEMPT_SECONDS)
        server = choice.choose(
            waiting, fleet.servers.values(), now, 0, keep_reserved=False
        )
        if server is not None:
            return self.state.grant(waiting, server, now)
        if not fleet.can_preempt_below(rank):
            return None
        if shedding.slot_frees_in_time(waiting, fleet, ahead, now):
            return None
        victim = shedding.find_victim(waiting, fleet, now)
        return None if victim is None else self.request_preemption(victim, waiting, now)

    def request_preemption(
        self,
        victim: servers.RunningTicket,
        waiting: queue.WaitingTicket,
        now: ids.Instant,
    ) -> scheduler.Outgoing:
        """Return the message that preempts a running request for a ticket."""
        self.state.fleet.note_preempted(victim, now)
        victim.preempted_for = waiting.ticket.ticket_id
        waiting.preemption_deadline = ids.Instant(now + shedding.PREEMPT_TIMEOUT)
        waiting.next_attempt = waiting.preemption_deadline
        ticket = victim.ticket
        after = shedding.retry_after(
            self.state.queue, self.state.fleet, ticket.tier_rank
        )
        preempt = messages.Preempt(ticket_id=ticket.ticket_id, retry_after=after)
        return scheduler.Outgoing(ticket.entry, preempt)

    def expire(
        self, waiting: queue.WaitingTicket, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """Refuse a ticket that can no longer end in time."""
        if not waiting.is_queued:
            # Already shed, together with its tier.
            return []
        if now < waiting.preemption_deadline:
            self.state.expiries.add(waiting.preemption_deadline, waiting)
            return []
        usable = self.state.fleet.usable(waiting.ticket)
        if not usable:
            reason = messages.RefusalReason.NO_BACKEND_SERVER
            return [self.state.refuse(waiting, reason)]
        predicted = choice.estimate(waiting.ticket, usable)
        latest = cellstate.start_by(waiting.deadline, predicted)
        if latest > now + LEAST_POSTPONEMENT:
            # The servers' estimated speeds have risen since it was queued.
            self.state.expiries.add(latest, waiting)
            return []
        return self.shed(waiting)

    def shed(self, waiting: queue.WaitingTicket) -> list[scheduler.Outgoing]:
        """Refuse a ticket, for overload only if no lower tier is being served.

        Queued tickets of lower tiers are refused first. If requests of lower tiers
        still run, they can't be preempted, or it's too late for that to help: then the
        reason is the ticket's deadline.
        """
        rank = waiting.ticket.tier_rank
        by_deadline = not waiting.had_slack or waiting.lane.is_suspect
        if by_deadline or self.state.fleet.runs_below(rank):
            return [self.state.refuse(waiting, messages.RefusalReason.DEADLINE)]
        overload = messages.RefusalReason.OVERLOAD
        outgoing = []
        if self.state.queue.has_below(rank):
            for lower in self.state.queue.tickets_below(rank):
                outgoing.append(self.state.refuse(lower, overload))
        return [*outgoing, self.state.refuse(waiting, overload)]


def risk_order(item: tuple[ids.TicketId, queue.WaitingTicket]) -> tuple[int, float]:
    """Return the sort key of tickets at risk: tier, then latest start."""
    waiting = item[1]
    return (waiting.ticket.tier_rank, waiting.start_by)
