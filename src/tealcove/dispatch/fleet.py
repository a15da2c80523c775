"""The backend servers of a cell and the tickets that hold their slots."""

from __future__ import annotations

import collections

from tealcove import ids
from tealcove.dispatch import cells, messages, servers

# Share of a cell's slots closed to non-idempotent requests of lower tiers; at least
# one slot. Such requests can't be preempted, so if they held all slots, a higher tier
# would have to be refused while lower tiers are being served.
PREEMPTIBLE_SHARE = 0.25
TOP_RANK = 0
# Slots reserved for short work, as a multiple of its mean slot usage.
SHORT_HEADROOM = 1.5
# Seconds over which the amount of short work is averaged.
SHORT_WINDOW = 5.0


class Fleet:
    """All servers of a cell by name, and all tickets that hold a slot."""

    def __init__(self) -> None:
        self.servers: dict[ids.BackendServerId, servers.ServerState] = {}
        self.server_of_ticket: dict[ids.TicketId, servers.ServerState] = {}
        # Running requests by tier: all, and those that a higher tier may preempt.
        self.running: collections.Counter[int] = collections.Counter()
        self.preemptible: collections.Counter[int] = collections.Counter()
        self.non_preemptible_lower = 0
        self.slots = 0
        # The revision of the servers' pool.
        self.revision = ids.Revision(0)
        self.short_share = 0.0
        self.short_tokens = 0
        # Mean number of slots used by short work; None: not known yet.
        self.short_demand: float | None = None
        # Predicted seconds of the short work that arrived since `short_since`.
        self.short_seconds = 0.0
        self.short_since = ids.Instant(0.0)

    def configure(self, cell: cells.Cell) -> list[ids.TicketId]:
        """Apply the cell's configuration; return the tickets of removed servers."""
        self.revision = cell.revision
        self.short_share = cell.short_share
        self.short_tokens = cell.short_tokens
        names = set()
        for spec in cell.servers:
            name = ids.BackendServerId(spec.name)
            names.add(name)
            if name in self.servers:
                self.servers[name].spec = spec
            else:
                self.servers[name] = servers.ServerState(spec)
        lost: list[ids.TicketId] = []
        for name in list(self.servers):
            if name not in names:
                lost.extend(self.servers.pop(name).running)
        self.slots = sum(spec.slots for spec in cell.servers)
        self.reserve_short_slots()
        return lost

    def update_short_reservation(self, now: ids.Instant) -> None:
        """Adapt the slots reserved for short work to how much of it arrives."""
        seconds = now - self.short_since
        if seconds <= 0.0:
            return
        part = min(1.0, seconds / SHORT_WINDOW)
        if self.short_demand is not None:
            rate = self.short_seconds / seconds
            self.short_demand += part * (rate - self.short_demand)
        elif self.short_since > 0.0:
            self.short_demand = self.slots * self.short_share / SHORT_HEADROOM
        self.short_since = now
        self.short_seconds = 0.0
        self.reserve_short_slots()

    def reserve_short_slots(self) -> None:
        """Set how many slots of each server are reserved for short work.

        The pool's share is the maximum. Fewer are reserved when little short work
        arrives, since reserved slots idle while long work waits. If the share amounts
        to a slot, one always stays reserved, so that a short request needn't wait.
        """
        share = self.short_share
        if self.short_demand is not None:
            wanted = SHORT_HEADROOM * self.short_demand / max(1, self.slots)
            share = min(share, wanted)
        for server in self.servers.values():
            most = int(server.spec.slots * self.short_share)
            server.reserved_short = max(min(1, most), int(server.spec.slots * share))

    def start(
        self,
        server: servers.ServerState,
        running: servers.RunningTicket,
        now: ids.Instant,
    ) -> None:
        """Record that a ticket got a slot."""
        server.start(running, now)
        self.server_of_ticket[running.ticket.ticket_id] = server
        self.update_counts(running, 1)

    def end(
        self, ticket_id: ids.TicketId, now: ids.Instant
    ) -> tuple[servers.ServerState, servers.RunningTicket] | None:
        """Release a ticket's slot; return None when it holds none."""
        server = self.server_of_ticket.pop(ticket_id, None)
        if server is None:
            return None
        running = server.end(ticket_id, now)
        self.update_counts(running, -1)
        if running.preempted_at is None:
            self.preemptible[running.ticket.tier_rank] -= running.ticket.idempotent
        return server, running

    def update_counts(self, running: servers.RunningTicket, change: int) -> None:
        """Update the counts by tier for a request that starts or ends."""
        ticket = running.ticket
        self.running[ticket.tier_rank] += change
        if change > 0:
            self.preemptible[ticket.tier_rank] += ticket.idempotent
        if not ticket.idempotent and ticket.tier_rank > TOP_RANK:
            self.non_preemptible_lower += change

    def note_preempted(self, running: servers.RunningTicket, now: ids.Instant) -> None:
        """Record that an entry was asked to stop a request."""
        if running.preempted_at is None:
            self.preemptible[running.ticket.tier_rank] -= 1
        running.preempted_at = now

    def runs_below(self, rank: int) -> bool:
        """Tell whether requests of lower tiers are running."""
        return any(count > 0 and r > rank for r, count in self.running.items())

    def can_preempt_below(self, rank: int) -> bool:
        """Tell whether preemptible requests of lower tiers are running."""
        return any(count > 0 and r > rank for r, count in self.preemptible.items())

    def at_non_idempotent_limit(self, rank: int, idempotent: bool) -> bool:
        """Tell whether a tier's non-idempotent requests may take no more slots."""
        if idempotent or rank <= TOP_RANK:
            return False
        kept = max(1, int(self.slots * PREEMPTIBLE_SHARE))
        # A cell of one slot would otherwise never run such requests.
        return self.non_preemptible_lower >= max(1, self.slots - kept)

    def usable(self, ticket: messages.Ticket) -> list[servers.ServerState]:
        """Return the usable servers that may run a ticket, and that it allows."""
        return [
            server
            for name, server in self.servers.items()
            if server.is_usable
            and name not in ticket.excluded
            and ticket.may_run_on(server.spec.version)
        ]
