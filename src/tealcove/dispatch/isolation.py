"""Isolation of requests that may crash their backend server."""

from __future__ import annotations

import math

from tealcove import ids
from tealcove.dispatch import (
    cellstate,
    choice,
    messages,
    queue,
    scheduler,
    servers,
)


class Isolation:
    """Runs a cell's suspects one at a time, each alone on its server.

    The server chosen for a suspect gets no other request until the suspect has ended:
    if it crashes the server, no other request is lost.
    """

    def __init__(self, state: cellstate.CellState) -> None:
        self.state = state
        self.server: servers.ServerState | None = None
        self.ticket_id: ids.TicketId | None = None
        # The suspicion's version by which the queued tickets were classified.
        self.applied_version = 0

    def advance(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """Reclassify the queue and grant a suspect its server once that is empty."""
        outgoing = self.reclassify(now)
        self.release()
        if self.server is None:
            self.choose_next(now)
        waiting = self.state.suspects.get(self.ticket_id)
        if waiting is None or not self.server.is_empty():
            return outgoing
        return [*outgoing, self.state.grant(waiting, self.server, now)]

    def reclassify(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """Classify the queued tickets again once the suspicion has changed.

        Without this, copies of a crashing request that were queued before the
        first crash would share servers with others, and still run after the second.
        """
        suspicion = self.state.suspicion
        if suspicion.version == self.applied_version:
            return []
        queued = list(self.state.queue.tickets.values())
        for waiting in queued:
            suspicion.judge(waiting.ticket, now)
        self.applied_version = suspicion.version
        outgoing = []
        for waiting in queued:
            is_suspect = suspicion.suspects(waiting.ticket, now).must_run_alone
            if suspicion.is_quarantined(waiting.ticket, now):
                reason = messages.RefusalReason.QUARANTINED
                outgoing.append(self.state.refuse(waiting, reason))
            elif is_suspect != waiting.lane.is_suspect:
                self.state.change_lane(waiting)
        return outgoing

    def release(self) -> None:
        """Release the server once the suspect is neither queued nor running."""
        if self.server is None:
            return
        if self.ticket_id in self.server.running:
            return
        is_queued = self.ticket_id in self.state.suspects
        is_kept = self.state.fleet.servers.get(self.server.name) is self.server
        if is_queued and is_kept and self.server.is_usable:
            return
        self.server.isolated_ticket = None
        self.server = self.ticket_id = None

    def choose_next(self, now: ids.Instant) -> None:
        """Choose the next suspect and reserve the server that ends it soonest."""
        for waiting in sorted(self.state.suspects.values(), key=suspect_order):
            server = self.find_server(waiting, now)
            if server is not None:
                self.server, self.ticket_id = server, waiting.ticket.ticket_id
                server.isolated_ticket = self.ticket_id
                return

    def find_server(
        self, waiting: queue.WaitingTicket, now: ids.Instant
    ) -> servers.ServerState | None:
        """Return the server that ends a suspect soonest, in time."""
        best = None
        best_end = waiting.deadline - choice.DEADLINE_MARGIN
        for server in self.state.fleet.usable(waiting.ticket):
            if server.foreign_running or server.pace is servers.Pace.PROBED:
                continue
            end = predicted_idle_at(server, now) + server.predict_total(
                waiting.ticket, 0.0
            )
            if end <= best_end:
                best, best_end = server, end
        return best


def predicted_idle_at(server: servers.ServerState, now: ids.Instant) -> float:
    """Return when a server's last running request is predicted to end."""
    ends = [now]
    for running in server.running.values():
        seconds = running.expected_total if running.expected_total != math.inf else 0.0
        ends.append(running.started + seconds)
    return max(ends)


def suspect_order(waiting: queue.WaitingTicket) -> tuple[int, float]:
    """Return the sort key of suspects: tier, then least slack."""
    return (waiting.ticket.tier_rank, waiting.start_by)
