"""The scheduler that queues tickets centrally and protects higher tiers."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import (
    cells,
    cellstate,
    choice,
    granting,
    holds,
    isolation,
    messages,
    paths,
    preemption,
    scheduler,
    servers,
    stragglers,
    suspicion,
)

# Seconds between two reviews of all servers' pace and all free slots.
REVIEW_INTERVAL = 0.25
# Seconds for which the slot of a lost entry's request stays taken: the engine may
# still work on the request, since it waits for the entry to resume the stream.
ORPHAN_SECONDS = 5.0


class FairScheduler(scheduler.Scheduler):
    """Schedules by tier, then fairly among client accounts, then by least slack.

    Every event ends with the same steps: free slots are granted, lower tiers are
    preempted for tickets near their latest start, and late tickets are refused.
    """

    def __init__(self) -> None:
        self.state = cellstate.CellState()
        self.preemption = preemption.Preemption(self.state)
        self.isolation = isolation.Isolation(self.state)
        self.granter = granting.SlotGranter(self.state)
        self.is_gathering = False
        self.gather_until = ids.Instant(0.0)
        self.next_review = ids.Instant(0.0)

    def use_suspicion(self, suspicion: suspicion.Suspicion) -> None:
        """See Scheduler."""
        self.state.suspicion = suspicion

    def use_paths(self, known: paths.Paths) -> None:
        """See Scheduler."""
        self.state.paths = known

    def confirm_reachable(
        self, server: ids.BackendServerId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        found = self.state.fleet.servers.get(server)
        is_left_out = found is not None and not found.reachable
        if not is_left_out or self.state.paths.is_unreachable(server, now):
            return []
        found.reachable = True
        return self.decide((found,), now)

    def gather(self, until: ids.Instant) -> None:
        """See Scheduler."""
        self.is_gathering = True
        self.gather_until = until
        for server in self.state.fleet.servers.values():
            server.discard_predictions()

    def depth(self) -> tuple[int, int]:
        """See Scheduler."""
        return len(self.state.queue), len(self.state.fleet.server_of_ticket)

    def configure(self, cell: cells.Cell, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        fleet = self.state.fleet
        for ticket_id in fleet.configure(cell):
            # The server has left the cell; its requests run on without a slot.
            fleet.end(ticket_id, now)
        stragglers.update_paces(fleet.servers.values(), now)
        refused = self.refuse_lost_versions()
        return [*refused, *self.decide(fleet.servers.values(), now)]

    def refuse_lost_versions(self) -> list[scheduler.Outgoing]:
        """Refuse the streams whose software version has no server left."""
        listed = {one.spec.version for one in self.state.fleet.servers.values()}
        lost = [
            waiting
            for waiting in self.state.queue.tickets.values()
            if waiting.ticket.version is not None
            and waiting.ticket.version not in listed
        ]
        reason = messages.RefusalReason.NO_BACKEND_SERVER
        return [self.state.refuse(waiting, reason) for waiting in lost]

    def enqueue(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        if ticket.running_on is not None:
            self.state.adopt(ticket, now)
            return []
        server = self.state.fleet.server_of_ticket.get(ticket.ticket_id)
        if server is not None:
            # The entry has sent the ticket again: the grant was lost.
            server.running[ticket.ticket_id].refreshed_at = now
            return [self.state.grant_message(ticket, server)]
        queued = messages.Queued(ticket_id=ticket.ticket_id)
        answer = scheduler.Outgoing(ticket.entry, queued)
        known = self.state.queue.tickets.get(ticket.ticket_id)
        if known is not None:
            known.refreshed_at = now
            return [answer]
        usable = self.state.fleet.usable(ticket)
        predicted = choice.estimate(ticket, usable)
        reason = self.refusal_reason(ticket, predicted, now)
        if not usable and reason is None and not self.may_become_usable(ticket):
            reason = messages.RefusalReason.NO_BACKEND_SERVER
        if reason is not None:
            return [self.state.refusal_message(ticket, reason)]
        waiting = self.state.queue_ticket(ticket, predicted, now)
        outgoing = []
        if not waiting.lane.is_suspect and not self.is_gathering:
            outgoing.extend(self.granter.grant_on_arrival(waiting, now))
        outgoing.extend(self.decide((), now))
        # An immediate grant or refusal replaces the acknowledgement.
        return [answer, *outgoing] if waiting.is_queued else outgoing

    def refusal_reason(
        self, ticket: messages.Ticket, predicted: choice.Estimate, now: ids.Instant
    ) -> messages.RefusalReason | None:
        """Return the reason to refuse a new ticket, or None to queue it."""
        if self.state.suspicion.judge(ticket, now):
            return messages.RefusalReason.QUARANTINED
        # Time spent waiting at other dispatchers counts: a request that an idle fleet
        # could have completed in time isn't refused for its deadline.
        if predicted.idle > ticket.remaining + ticket.waited:
            return messages.RefusalReason.DEADLINE
        return None

    def may_become_usable(self, ticket: messages.Ticket) -> bool:
        """Tell whether an unreachable server may become usable again."""
        return any(
            name not in ticket.excluded
            and ticket.may_run_on(server.spec.version)
            and not server.leaving
            and not server.reachable
            for name, server in self.state.fleet.servers.items()
        )

    def withdraw(
        self, ticket_id: ids.TicketId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        waiting = self.state.queue.tickets.get(ticket_id)
        if waiting is not None:
            self.state.remove_from_queue(waiting)
        return self.end(ticket_id, 0.0, now)

    def progress(
        self, progress: messages.Progress, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server = self.state.fleet.server_of_ticket.get(progress.ticket_id)
        if server is not None:
            server.running[progress.ticket_id].has_first_token = True
        return []

    def done(self, done: messages.Done, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server = self.state.fleet.servers.get(done.server)
        if server is not None:
            if done.outcome is messages.Outcome.COMPLETED:
                running = server.running.get(done.ticket_id)
                if running is not None and done.is_success:
                    began = ids.Instant(now - done.writing_seconds)
                    self.state.suspicion.answered(running.ticket, began, now)
                stragglers.observe_completion(server, running, done, now)
            if done.outcome in paths.LOST_OUTCOMES:
                self.state.record_unreachable(server, now)
            if done.outcome is messages.Outcome.CRASHED:
                self.state.suspicion.note_loss(server.name, now)
                server.index.reset()
        tokens = done.prompt_tokens - done.cached_tokens + done.output_tokens
        return self.end(done.ticket_id, tokens, now)

    def end(
        self, ticket_id: ids.TicketId, tokens: float, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """Release a slot and grant it again, first to the ticket it was freed for."""
        ended = self.state.end(ticket_id, now, tokens)
        if ended is None:
            return self.decide((), now)
        server, running = ended
        outgoing = []
        promised = self.state.queue.tickets.get(running.preempted_for)
        if promised is not None:
            chosen = choice.choose(promised, (server,), now, 0, keep_reserved=False)
            if chosen is not None:
                outgoing.append(self.state.grant(promised, chosen, now))
        freed = (server,)
        if not running.ticket.idempotent:
            # The limit on such work holds for the cell, so any slot may be granted.
            freed = self.state.fleet.servers.values()
        return [*outgoing, *self.decide(freed, now)]

    def report(
        self,
        server: ids.BackendServerId,
        load: engine.LoadReport | None,
        now: ids.Instant,
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server_state = self.state.fleet.servers.get(server)
        if server_state is None:
            return []
        if load is None:
            self.state.record_unreachable(server_state, now)
        else:
            server_state.reachable = True
            server_state.leaving = load.state == "leaving"
            server_state.apply_load_report(load, now)
        return self.decide((server_state,), now)

    def cached(
        self, server: ids.BackendServerId, events: engine.CacheEvents, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server_state = self.state.fleet.servers.get(server)
        if server_state is not None:
            server_state.index.apply_events(events)
        return []

    def last_event(self, server: ids.BackendServerId) -> int:
        """See Scheduler."""
        server_state = self.state.fleet.servers.get(server)
        return 0 if server_state is None else server_state.index.last_sequence

    def hold_back(
        self, server: ids.BackendServerId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server_state = self.state.fleet.servers.get(server)
        if server_state is not None:
            server_state.leaving = True
        return []

    def report_hold(self, report: holds.HoldReport) -> holds.HoldReport:
        """See Scheduler."""
        server_state = self.state.fleet.servers.get(report.server)
        if server_state is None:
            return report
        return msgspec.structs.replace(
            report,
            is_held=report.is_held or server_state.leaving,
            running=len(server_state.running),
            is_gathering=self.is_gathering,
        )

    def lose_entry(
        self, entry: ids.InstanceId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        for waiting in list(self.state.queue.tickets.values()):
            if waiting.ticket.entry == entry:
                self.state.remove_from_queue(waiting)
        for server in self.state.fleet.servers.values():
            for running in server.running.values():
                if running.ticket.entry == entry and running.orphaned_until is None:
                    orphaned_until = min(running.deadline, now + ORPHAN_SECONDS)
                    running.orphaned_until = ids.Instant(orphaned_until)
        return self.decide((), now)

    def tick(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        if now < self.next_review:
            return self.decide((), now)
        self.next_review = ids.Instant(now + REVIEW_INTERVAL)
        all_servers = self.state.fleet.servers.values()
        self.drop_stale_tickets(now)
        for server in all_servers:
            self.drop_orphans(server, now)
        stragglers.update_paces(all_servers, now)
        self.state.fleet.update_short_reservation(now)
        return self.decide(all_servers, now)

    def drop_orphans(self, server: servers.ServerState, now: ids.Instant) -> None:
        """Release slots for whose requests no end will be reported."""
        for ticket_id, running in list(server.running.items()):
            is_orphan = (
                running.orphaned_until is not None and running.orphaned_until <= now
            )
            if running.orphaned_until is not None and not server.reachable:
                # The entry that would have reported the crash is lost as well.
                alone = server.isolated_ticket == ticket_id
                self.state.suspicion.lost(
                    running.ticket,
                    server.name,
                    alone,
                    running.started,
                    now,
                    running.has_first_token,
                )
                is_orphan = True
            # A lost entry refreshes nothing: its requests have `orphaned_until`.
            is_stale = running.orphaned_until is None and (
                now - running.refreshed_at > scheduler.REFRESH_TIMEOUT
            )
            if is_orphan or is_stale:
                self.state.end(ticket_id, now, running.charged)

    def drop_stale_tickets(self, now: ids.Instant) -> None:
        """Remove queued tickets whose entry has stopped refreshing them."""
        for waiting in list(self.state.queue.tickets.values()):
            if now - waiting.refreshed_at > scheduler.REFRESH_TIMEOUT:
                self.state.remove_from_queue(waiting)

    def decide(
        self, freed: Iterable[servers.ServerState], now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """Grant the slots of some servers, then handle tickets near their deadline."""
        if self.is_gathering and now >= self.gather_until:
            self.is_gathering = False
            freed = self.state.fleet.servers.values()
        outgoing = []
        if not self.is_gathering:
            outgoing.extend(self.isolation.advance(now))
            outgoing.extend(self.granter.grant_free_slots(freed, now))
        outgoing.extend(self.preemption.advance(now, self.is_gathering))
        return outgoing
