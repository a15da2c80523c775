"""The scheduler that holds the queue back and protects higher tiers."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import (
    cells,
    cellstate,
    choice,
    filling,
    holds,
    isolation,
    messages,
    pressure,
    scheduler,
    servers,
    stragglers,
    suspicion,
)

# Seconds between two looks at all servers' pace and all free slots.
REVIEW_INTERVAL = 0.25
# A slot whose entry is gone is kept for so long: the engine may still work on
# the request, since it waits for the entry to resume the stream.
ORPHAN_SECONDS = 5.0


class FairScheduler(scheduler.Scheduler):
    """Tier, then fair among client accounts, then least slack.

    Every event ends with the same steps: free slots are granted, tickets whose
    time runs out get a slot by force, and what is too late is refused.
    """

    def __init__(self) -> None:
        self.state = cellstate.CellState()
        self.pressure = pressure.Pressure(self.state)
        self.isolation = isolation.Isolation(self.state)
        self.filling = filling.Filling(self.state)
        self.is_gathering = False
        self.gather_until = ids.Instant(0.0)
        self.next_review = ids.Instant(0.0)

    def use_suspicion(self, suspicion: suspicion.Suspicion) -> None:
        """See Scheduler."""
        self.state.suspicion = suspicion

    def gather(self, until: ids.Instant) -> None:
        """See Scheduler."""
        self.is_gathering = True
        self.gather_until = until
        for server in self.state.fleet.servers.values():
            server.forget_expected()

    def depth(self) -> tuple[int, int]:
        """See Scheduler."""
        return len(self.state.queue), len(self.state.fleet.where)

    def configure(self, cell: cells.Cell, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        fleet = self.state.fleet
        for ticket_id in fleet.configure(cell):
            # The server is no longer the cell's; its work goes on without a slot.
            fleet.end(ticket_id, now)
        stragglers.judge(fleet.servers.values(), now)
        return self.decide(fleet.servers.values(), now)

    def enqueue(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        if ticket.running_on is not None:
            self.state.adopt(ticket, now)
            return []
        server = self.state.fleet.where.get(ticket.ticket_id)
        if server is not None:
            # The entry asks again: it didn't get the grant.
            server.running[ticket.ticket_id].told = now
            return [self.state.tell_grant(ticket, server)]
        queued = messages.Queued(ticket_id=ticket.ticket_id)
        answer = scheduler.Outgoing(ticket.entry, queued)
        known = self.state.queue.tickets.get(ticket.ticket_id)
        if known is not None:
            known.told = now
            return [answer]
        usable = self.state.fleet.usable(ticket)
        found = choice.estimate(ticket, usable)
        reason = self.reason_against(ticket, found)
        if not usable and reason is None and not self.is_return_likely(ticket):
            reason = messages.RefusalReason.NO_BACKEND_SERVER
        if reason is not None:
            return [self.state.tell_refusal(ticket, reason)]
        waiting = self.state.wait(ticket, found, now)
        outgoing = []
        if not waiting.lane.is_suspect and not self.is_gathering:
            outgoing.extend(self.filling.place(waiting, now))
        outgoing.extend(self.decide((), now))
        # A grant or refusal at once says as well that this dispatcher is there.
        return [answer, *outgoing] if waiting.is_queued else outgoing

    def reason_against(
        self, ticket: messages.Ticket, found: choice.Estimate
    ) -> messages.RefusalReason | None:
        """Return why a ticket isn't queued, if so."""
        if self.state.suspicion.is_quarantined(ticket.digest):
            return messages.RefusalReason.QUARANTINED
        # Time spent waiting elsewhere counts: work that an idle fleet could have
        # ended in time is not refused for its deadline.
        if found.idle > ticket.remaining + ticket.waited:
            return messages.RefusalReason.DEADLINE
        return None

    def is_return_likely(self, ticket: messages.Ticket) -> bool:
        """Tell whether a server that can't be reached just now may come back."""
        return any(
            name not in ticket.excluded and not server.leaving and not server.reachable
            for name, server in self.state.fleet.servers.items()
        )

    def withdraw(
        self, ticket_id: ids.TicketId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        waiting = self.state.queue.tickets.get(ticket_id)
        if waiting is not None:
            self.state.leave(waiting)
        return self.end(ticket_id, 0.0, now)

    def progress(
        self, progress: messages.Progress, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server = self.state.fleet.where.get(progress.ticket_id)
        if server is not None:
            server.running[progress.ticket_id].has_first_token = True
        return []

    def done(self, done: messages.Done, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server = self.state.fleet.servers.get(done.server)
        if server is not None:
            if done.outcome is messages.Outcome.COMPLETED:
                running = server.running.get(done.ticket_id)
                stragglers.learn(server, running, done, now)
            if done.outcome in (messages.Outcome.NOT_SENT, messages.Outcome.CRASHED):
                server.reachable = False
            if done.outcome is messages.Outcome.CRASHED:
                server.index.reset()
        tokens = done.prompt_tokens - done.cached_tokens + done.output_tokens
        return self.end(done.ticket_id, tokens, now)

    def end(
        self, ticket_id: ids.TicketId, tokens: float, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """Take back a slot and grant it again, first to whom it was promised."""
        ended = self.state.end(ticket_id, now, tokens)
        if ended is None:
            return self.decide((), now)
        server, running = ended
        outgoing = []
        promised = self.state.queue.tickets.get(running.preempted_for)
        if promised is not None:
            found = choice.choose(promised, (server,), now, 0, keeps_short=False)
            if found is not None:
                outgoing.append(self.state.grant(promised, found, now))
        freed = (server,)
        if not running.ticket.idempotent:
            # The limit on such work is the cell's, so any free slot may do now.
            freed = self.state.fleet.servers.values()
        return [*outgoing, *self.decide(freed, now)]

    def report(
        self,
        server: ids.BackendServerId,
        load: engine.LoadReport | None,
        now: ids.Instant,
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        found = self.state.fleet.servers.get(server)
        if found is None:
            return []
        found.reachable = load is not None
        if load is not None:
            found.leaving = load.state == "leaving"
            found.take_report(load, now)
        return self.decide((found,), now)

    def cached(
        self, server: ids.BackendServerId, events: engine.CacheEvents, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        found = self.state.fleet.servers.get(server)
        if found is not None:
            found.index.apply_events(events)
        return []

    def last_event(self, server: ids.BackendServerId) -> int:
        """See Scheduler."""
        found = self.state.fleet.servers.get(server)
        return 0 if found is None else found.index.last_sequence

    def hold_back(
        self, server: ids.BackendServerId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        found = self.state.fleet.servers.get(server)
        if found is not None:
            found.leaving = True
        return []

    def report_hold(self, report: holds.HoldReport) -> holds.HoldReport:
        """See Scheduler."""
        found = self.state.fleet.servers.get(report.server)
        if found is None:
            return report
        return msgspec.structs.replace(
            report,
            is_held=report.is_held or found.leaving,
            running=len(found.running),
            is_gathering=self.is_gathering,
        )

    def lose_entry(
        self, entry: ids.InstanceId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        for waiting in list(self.state.queue.tickets.values()):
            if waiting.ticket.entry == entry:
                self.state.leave(waiting)
        for server in self.state.fleet.servers.values():
            for running in server.running.values():
                if running.ticket.entry == entry and running.ends_by is None:
                    ends_by = min(running.deadline, now + ORPHAN_SECONDS)
                    running.ends_by = ids.Instant(ends_by)
        return self.decide((), now)

    def tick(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        if now < self.next_review:
            return self.decide((), now)
        self.next_review = ids.Instant(now + REVIEW_INTERVAL)
        found = self.state.fleet.servers.values()
        self.drop_untold(now)
        for server in found:
            self.drop_orphans(server, now)
        stragglers.judge(found, now)
        self.state.fleet.keep_short(now)
        return self.decide(found, now)

    def drop_orphans(self, server: servers.ServerState, now: ids.Instant) -> None:
        """Take back slots whose end nobody will tell of."""
        for ticket_id, running in list(server.running.items()):
            is_orphan = running.ends_by is not None and running.ends_by <= now
            if running.ends_by is not None and not server.reachable:
                # The entry that would have told of the crash is gone as well.
                alone = server.isolated == ticket_id
                self.state.suspicion.lost(running.ticket, server.name, alone, now)
                is_orphan = True
            # Of a lost entry's requests nobody tells: they have the time above.
            is_untold = running.ends_by is None and (
                now - running.told > scheduler.REFRESH_TIMEOUT
            )
            if is_orphan or is_untold:
                self.state.end(ticket_id, now, running.charged)

    def drop_untold(self, now: ids.Instant) -> None:
        """Forget queued tickets whose withdrawal must have got lost."""
        for waiting in list(self.state.queue.tickets.values()):
            if now - waiting.told > scheduler.REFRESH_TIMEOUT:
                self.state.leave(waiting)

    def decide(
        self, freed: Iterable[servers.ServerState], now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """Grant the slots of some servers, then look at what time has run out."""
        if self.is_gathering and now >= self.gather_until:
            self.is_gathering = False
            freed = self.state.fleet.servers.values()
        outgoing = []
        if not self.is_gathering:
            outgoing.extend(self.isolation.advance(now))
            outgoing.extend(self.filling.fill(freed, now))
        outgoing.extend(self.pressure.advance(now, self.is_gathering))
        return outgoing
