"""The goal scheduler's state of a cell's backend servers and their runs."""

from __future__ import annotations

import math
from collections.abc import Iterable

import logbook
import msgspec

from tealcove import ids
from tealcove.dispatch import (
    accountshares,
    backendview,
    cells,
    messages,
    prefill,
    scheduler,
    serverload,
)
from tealcove.resources import kinds

log = logbook.Logger("dispatch")


class Estimate(msgspec.Struct, frozen=True):
    """The time that a ticket takes on idle servers, in seconds."""

    # To its first token and to its end, each on the fastest server allowed for it.
    first: float
    total: float
    # Mean time for which it holds a slot, weighted by how often slots of each server
    # become free. The fastest server's time alone would make an overload look smaller
    # than it is, and callers would wait only to be refused.
    slot_seconds: float


class BackendViews:
    """The servers by name, and the server of each ticket that holds a slot."""

    def __init__(self) -> None:
        self.servers: dict[ids.BackendServerId, backendview.BackendView] = {}
        # Shared by all servers, since they run the same model.
        self.quadratic = prefill.QuadraticCost()
        # How the load that servers state is used.
        self.loads = serverload.Loads()
        self.server_by_ticket: dict[ids.TicketId, backendview.BackendView] = {}
        # The software versions of the listed servers.
        self.versions: frozenset[ids.SoftwareVersion] = frozenset()
        self.accounts: accountshares.AccountShares = accountshares.NoAccountShares()

    def use_accounts(self, accounts: accountshares.AccountShares) -> None:
        """Set who is told which account holds how many slots."""
        self.accounts = accounts
        accounts.use_capacity(self.count_slots)

    def count_slots(self, now: ids.Instant) -> float:
        """Return the slots of the servers that requests are sent to now."""
        return float(
            sum(
                server.open_slots(now)
                for server in self.servers.values()
                if server.is_available(now)
            )
        )

    def configure(self, cell: cells.Cell, now: ids.Instant) -> None:
        """Apply a new list of servers, and drop the runs on removed ones."""
        self.versions = frozenset(spec.version for spec in cell.servers)
        names = set()
        for spec in cell.servers:
            name = ids.BackendServerId(spec.name)
            names.add(name)
            known = self.servers.get(name)
            if known is not None and known.spec.start != spec.start:
                # Restarted under the same name, so its earlier runs have ended. If they
                # were kept, they would hold slots until their callers leave, and the
                # failures and speeds of the old start would count for the new one.
                log.info(
                    "{} restarted: start {}, was {}", name, spec.start, known.spec.start
                )
                self.remove(name)
                known = None
            if known is None:
                self.servers[name] = self.create_view(spec, now)
            else:
                known.update(spec, now)
        for name in [name for name in self.servers if name not in names]:
            self.remove(name)

    def remove(self, name: ids.BackendServerId) -> None:
        """Remove a server with all its runs."""
        for ticket_id, run in self.servers.pop(name).runs.items():
            del self.server_by_ticket[ticket_id]
            self.accounts.record_release(run.ticket)

    def create_view(
        self, spec: kinds.BackendServerSpec, now: ids.Instant
    ) -> backendview.BackendView:
        """Return a new server's state, with the speed of the median known server."""
        load = self.loads.of_server(ids.BackendServerId(spec.name), spec.slots)
        view = backendview.BackendView(spec, self.quadratic, load)
        view.warmup.update(spec, now)
        known = [other for other in self.servers.values() if other.observations]
        if known:
            known.sort(key=lambda other: other.prefill.rate)
            middle = known[len(known) // 2]
            view.prefill.copy_from(middle.prefill)
            view.token_seconds = middle.token_seconds
            view.call_seconds = middle.call_seconds
        return view

    def excluded(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> frozenset[ids.BackendServerId]:
        """Return the servers that a ticket excludes; none if no other one wants it."""
        excluded = frozenset(ticket.excluded)
        wanting = (
            name
            for name, server in self.servers.items()
            if server.accepts(ticket.entry, now)
            and ticket.may_run_on(server.spec.version)
        )
        return frozenset() if excluded.issuperset(wanting) else excluded

    def allowed(
        self,
        ticket: messages.Ticket,
        free: Iterable[backendview.BackendView],
        now: ids.Instant,
    ) -> list[backendview.BackendView]:
        """Return those of some servers that a ticket may be sent to."""
        excluded = self.excluded(ticket, now)
        return [
            server
            for server in free
            if server.name not in excluded
            and server.accepts(ticket.entry, now)
            and ticket.may_run_on(server.spec.version)
        ]

    def estimate(self, ticket: messages.Ticket, now: ids.Instant) -> Estimate:
        """Return the time that a ticket takes; zeros if there are no servers.

        One pass over the servers, since it's called for each arrival.
        """
        excluded = self.excluded(ticket, now)
        first = total = math.inf
        slots, ends = 0, 0.0
        for server in self.servers.values():
            if not ticket.may_run_on(server.spec.version):
                continue
            to_first = server.first_seconds(ticket, 0.0)
            to_end = to_first + backendview.stream_seconds(ticket, server)
            slots += server.spec.slots
            ends += server.spec.slots / to_end
            if server.name not in excluded:
                first, total = min(first, to_first), min(total, to_end)
        if not slots:
            return Estimate(0.0, 0.0, 0.0)
        return Estimate(first, total, slots / ends)

    def is_bound(self, ticket: messages.Ticket) -> bool:
        """Tell whether its version keeps a ticket from some of the servers."""
        return ticket.version is not None and self.versions != {ticket.version}

    def start(
        self,
        ticket: messages.Ticket,
        server: backendview.BackendView,
        now: ids.Instant,
    ) -> backendview.Run:
        """Give a slot to a ticket."""
        self.server_by_ticket[ticket.ticket_id] = server
        self.accounts.record_start(ticket)
        return server.start(ticket, now)

    def adopt(self, ticket: messages.Ticket, now: ids.Instant) -> None:
        """Record a running request that another dispatcher granted."""
        server = self.servers.get(ticket.running_on)
        if server is None or ticket.running_start != server.spec.start:
            # For another start: either the request ended with it, or this instance
            # doesn't know the start yet, and the ticket will be sent again.
            return
        known = server.runs.get(ticket.ticket_id)
        if known is not None:
            server.refresh(known, now)
            return
        self.release(ticket.ticket_id)
        run = self.start(ticket, server, now)
        run.is_adopted = True
        run.copy_at = ticket.copy_at
        run.has_first_token = True

    def record_load(
        self, reported: messages.Progress | messages.Done, now: ids.Instant
    ) -> None:
        """Record the load that a server stated in its answer to a running request."""
        server = self.server_by_ticket.get(reported.ticket_id)
        if server is not None and reported.load is not None:
            at = ids.Instant(now - reported.load_age)
            server.load.record(reported.load, at, server.runs.values())

    def release(
        self, ticket_id: ids.TicketId, is_answered: bool = False
    ) -> tuple[backendview.BackendView, backendview.Run] | None:
        """Release a ticket's slot; return None if it holds none.

        `is_answered`: its server has answered, or got no request.
        """
        server = self.server_by_ticket.pop(ticket_id, None)
        if server is None:
            return None
        run = server.runs.pop(ticket_id)
        self.accounts.record_release(run.ticket)
        if not is_answered:
            server.abandon(run)
        return server, run

    def release_entry(self, entry: ids.InstanceId) -> None:
        """Release the slots of a lost entry, and end its rests.

        The servers stop its requests as soon as its connections are closed. What they
        asked of it doesn't bind its next process.
        """
        for server in self.servers.values():
            server.restrictions.end_rest(entry)
            server.reported_at.pop(entry, None)
        for ticket_id, server in list(self.server_by_ticket.items()):
            if server.runs[ticket_id].ticket.entry == entry:
                self.release(ticket_id)

    def release_stale(self, now: ids.Instant) -> None:
        """Release the slots whose tickets are no longer refreshed."""
        since = now - scheduler.REFRESH_TIMEOUT
        for ticket_id, server in list(self.server_by_ticket.items()):
            if server.runs[ticket_id].refreshed_at < since:
                log.info("released slot of {} on {}: stale", ticket_id, server.name)
                self.release(ticket_id)
