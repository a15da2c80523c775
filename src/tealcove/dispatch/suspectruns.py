"""Runs of requests that may crash their server, one at a time."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from tealcove import ids
from tealcove.dispatch import (
    backendview,
    backendviews,
    messages,
    suspicion,
    waitingticket,
)


class SuspectRuns:
    """Limits the requests that may crash their server, for the goal scheduler.

    Those with a suspected key in common run one after the other, so that the first
    ones show whether the next one may run. A strongly suspected one runs alone on a
    server: if it crashes that, no other request is lost.
    """

    def __init__(self, views: backendviews.BackendViews) -> None:
        self.views = views
        self.suspicion: suspicion.Suspicion = suspicion.NoSuspicion()
        # The server that is kept for one ticket, and the ticket.
        self.reserved: backendview.BackendView | None = None
        self.ticket_id: ids.TicketId | None = None

    def release(self, line: Collection[ids.TicketId], now: ids.Instant) -> None:
        """End the reservation once its ticket neither waits nor runs."""
        if self.reserved is None or self.ticket_id in self.reserved.runs:
            return
        is_usable = self.reserved.is_available(now)
        is_known = self.views.servers.get(self.reserved.name) is self.reserved
        if self.ticket_id not in line or not is_usable or not is_known:
            self.reserved = self.ticket_id = None

    def unreserved(
        self, servers: Iterable[backendview.BackendView]
    ) -> list[backendview.BackendView]:
        """Return those of some servers that aren't kept for a ticket."""
        return [server for server in servers if server is not self.reserved]

    def note_writing(self, now: ids.Instant) -> None:
        """Note the runs that show by now that their parts crash no server."""
        for server in self.views.servers.values():
            for run in server.runs.values():
                if run.first_token_at is None or run.is_noted:
                    continue
                if is_writing(run, now):
                    run.is_noted = True
                    self.suspicion.answered(run.ticket, run.first_token_at, now)

    def may_start(
        self,
        waiting: waitingticket.Waiting,
        keys: set[str],
        line: Iterable[waitingticket.Waiting],
        now: ids.Instant,
    ) -> bool:
        """Tell whether a ticket with suspected keys needn't wait for others with them.

        Tickets with fewer suspected keys go first: an answer to them tells the keys
        of the others apart.
        """
        if self.is_any_running(keys, now):
            return False
        return not any(
            other is not waiting and self.goes_before(other.ticket, keys, now)
            for other in line
        )

    def is_any_running(self, keys: set[str], now: ids.Instant) -> bool:
        """Tell whether a run that may still crash its server has one of some keys."""
        return any(
            not keys.isdisjoint(self.suspicion.suspects(run.ticket, now).keys)
            and not is_writing(run, now)
            for server in self.views.servers.values()
            for run in server.runs.values()
        )

    def goes_before(
        self, ticket: messages.Ticket, keys: set[str], now: ids.Instant
    ) -> bool:
        """Tell whether a ticket has some, but not all, of the keys, and no others."""
        own = set(self.suspicion.suspects(ticket, now).keys)
        return bool(own) and own < keys

    def server_alone(
        self,
        ticket: messages.Ticket,
        allowed: list[backendview.BackendView],
        now: ids.Instant,
    ) -> backendview.BackendView | None:
        """Return an empty server for a ticket that must run alone; keep one for it."""
        if self.reserved is None and allowed:
            self.reserved = min(allowed, key=lambda server: len(server.runs))
            self.ticket_id = ticket.ticket_id
        if not self.is_alone(ticket) or self.reserved.runs:
            return None
        return self.reserved if self.reserved.free_slots(now) > 0 else None

    def is_alone(self, ticket: messages.Ticket) -> bool:
        """Tell whether a server is kept for a ticket."""
        return self.reserved is not None and self.ticket_id == ticket.ticket_id


def is_writing(run: backendview.Run, now: ids.Instant) -> bool:
    """Tell whether a run's server has been writing its answer for a while."""
    if not run.has_first_token:
        return False
    since = run.started if run.first_token_at is None else run.first_token_at
    return now - since > suspicion.WRITING_SECONDS
