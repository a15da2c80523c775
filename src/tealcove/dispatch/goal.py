"""Scheduler for requests with a goal for the time to their first event."""

from __future__ import annotations

import math
from collections.abc import Iterable

import logbook

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import (
    accountshares,
    admission,
    backendview,
    backendviews,
    cells,
    crossing,
    exposure,
    firstattempts,
    inflow,
    messages,
    notices,
    outcomes,
    paths,
    retry,
    scheduler,
    serverload,
    shares,
    suspectruns,
    suspicion,
    turns,
    waitingline,
    waitingticket,
)
from tealcove.storage import revisions
from tealcove.streamcopies import copying

log = logbook.Logger("dispatch")

# Seconds between two checks for changes that no event announces.
REVIEW_INTERVAL = 0.1
# Seconds between two forecasts of a line longer than SHORT_LINE; shorter ones are
# forecast at each event. Forecasting a long line at each event takes half a core with
# thirty servers at twice their load, and delays everything that the dispatcher does.
FORECAST_INTERVAL = 0.05
SHORT_LINE = 16
# Seconds between two removals of expired first attempts; each scans all of them.
EXPIRY_INTERVAL = 1.0


class GoalScheduler(scheduler.Scheduler):
    """Serves reachable goals first in each tier, each on the server that ends soonest.

    `waitingline` defines the order of the line and its forecast.
    """

    def __init__(self) -> None:
        self.views = backendviews.BackendViews()
        self.line: dict[ids.TicketId, waitingticket.Waiting] = {}
        # Those of its tickets that go on from a copy; kept apart, since there are few
        # and the line is long under overload. Ones that have left it are removed later.
        self.continued: dict[ids.TicketId, waitingticket.Waiting] = {}
        self.suspicion: suspicion.Suspicion = suspicion.NoSuspicion()
        # The suspicion's version by which the line was judged.
        self.judged_version = 0
        self.suspect_runs = suspectruns.SuspectRuns(self.views)
        self.exposure: exposure.Exposure = exposure.AnyVersion()
        self.paths: paths.Paths = paths.NoEvidence()
        self.accounts: accountshares.AccountShares = accountshares.NoAccountShares()
        self.admission: admission.Admission = admission.BY_DEADLINE
        self.crossing: crossing.Crossing = crossing.ConstantPenalty()
        self.copies: copying.Copies = copying.NoCopies()
        self.inflow = inflow.Inflow()
        self.shares = shares.Shares()
        self.attempts = firstattempts.FirstAttempts()
        self.cell_id = ids.CellId("")
        # Revision of the pool that decisions are based on.
        self.revision = ids.Revision(0)
        self.gather_until = ids.Instant(0.0)
        self.next_review = ids.Instant(0.0)
        self.next_forecast = ids.Instant(0.0)
        self.next_expiry = ids.Instant(0.0)

    def use_suspicion(self, suspicion: suspicion.Suspicion) -> None:
        """See Scheduler."""
        self.suspicion = self.suspect_runs.suspicion = suspicion

    def use_exposure(self, exposed: exposure.Exposure) -> None:
        """See Scheduler."""
        self.exposure = exposed

    def use_paths(self, known: paths.Paths) -> None:
        """See Scheduler."""
        self.paths = known

    def use_accounts(self, accounts: accountshares.AccountShares) -> None:
        """See Scheduler."""
        self.accounts = accounts
        self.views.use_accounts(accounts)
        accounts.use_line(lambda: (one.ticket for one in self.line.values()))

    def use_admission(self, policy: admission.Admission) -> None:
        """See Scheduler."""
        self.admission = policy

    def restore_returns(
        self, returns: tuple[messages.PromisedReturn, ...], now: ids.Instant
    ) -> None:
        """See Scheduler."""
        for promised in returns:
            attempt = self.attempts.restore(promised, now)
            if attempt is not None:
                self.admission.restore(promised, attempt.promised_at)
                self.mark_returned(attempt)

    def mark_returned(self, attempt: firstattempts.Attempt) -> None:
        """Mark the ticket of a return that arrived before its promise."""
        for waiting in self.line.values():
            if waiting.attempt is attempt and attempt.is_due(waiting.since):
                waiting.has_returned = waiting.keeps_promise = True

    def expect_returns(self, until: ids.Instant) -> None:
        """See Scheduler."""
        self.admission.expect_returns(until)

    def notices(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        if now < self.gather_until:
            return []
        servers = self.views.servers.values()
        has_free_slots = any(server.free_slots(now) > 0 for server in servers)
        return self.notices_if(has_free_slots, now)

    def notices_if(
        self, has_free_slots: bool, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """Return the notices that entries are to be sent now."""
        told = self.admission.notices(has_free_slots, now)
        return [
            scheduler.Outgoing(
                entry, notices.AdmissionNotice(cell=self.cell_id, flows=tuple(flows))
            )
            for entry, flows in told.items()
        ]

    def record_local_refusals(
        self, entry: ids.InstanceId, sent: notices.LocalRefusals, now: ids.Instant
    ) -> None:
        """See Scheduler."""
        for refusal in sent.refusals:
            ticket = notices.ticket_of(refusal, sent.cell, entry)
            # Counts its arrival.
            attempt = self.wait(ticket, now).attempt
            promised_at = None
            if refusal.is_promised and attempt is not None:
                due_in = refusal.ms_to_return / notices.MILLISECONDS
                promised_at = attempt.promised_at = ids.Instant(now + due_in)
            self.admission.record_local_refusal(ticket, promised_at, now)

    def use_server_load(self, only_shared: bool = False) -> None:
        """See Scheduler."""
        self.views.loads = serverload.StatedLoads(only_shared)

    def use_crossing(self, policy: crossing.Crossing) -> None:
        """See Scheduler."""
        self.crossing = policy

    def use_copies(self, copies: copying.Copies) -> None:
        """See Scheduler."""
        self.copies = copies

    def confirm_reachable(
        self, server: ids.BackendServerId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        found = self.views.servers.get(server)
        is_paused = found is not None and found.pause.is_active(now)
        if not is_paused or self.paths.is_unreachable(server, now):
            return []
        log.info("{} is reached, and used again", server)
        found.end_pause(now)
        return self.decide(now)

    def backend_views(self) -> Iterable[backendview.BackendView]:
        """See Scheduler."""
        return self.views.servers.values()

    def eligible_servers(self) -> list[backendview.BackendView]:
        """Return the servers whose version may receive a request now."""
        return self.receiving(self.views.servers.values())

    def resuming_servers(
        self, version: ids.SoftwareVersion
    ) -> list[backendview.BackendView]:
        """Return the servers that may go on with the streams of a version."""
        return self.resuming(
            server
            for server in self.views.servers.values()
            if server.spec.version == version and server.is_serving
        )

    def receiving(
        self, servers: Iterable[backendview.BackendView]
    ) -> list[backendview.BackendView]:
        """Return those of some servers whose version may receive a request now."""
        return [one for one in servers if self.exposure.may_receive(one.spec)]

    def resuming(
        self, servers: Iterable[backendview.BackendView]
    ) -> list[backendview.BackendView]:
        """Return those of some servers that may go on with streams of their version."""
        return [one for one in servers if self.exposure.may_resume(one.spec)]

    def gather(self, until: ids.Instant) -> None:
        """See Scheduler."""
        self.gather_until = until

    def depth(self) -> tuple[int, int]:
        """See Scheduler."""
        return len(self.line), len(self.views.server_by_ticket)

    def configure(self, cell: cells.Cell, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.cell_id = cell.cell_id
        self.revision = cell.revision
        self.views.configure(cell, now)
        return self.decide(now)

    def enqueue(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        if ticket.running_on is not None:
            self.line.pop(ticket.ticket_id, None)
            self.views.adopt(ticket, now)
            return []
        server = self.views.server_by_ticket.get(ticket.ticket_id)
        if server is not None:
            # The entry repeats the ticket because it didn't receive the grant.
            server.refresh(server.runs[ticket.ticket_id], now)
            return [self.grant_message(ticket, server)]
        queued = messages.Queued(ticket_id=ticket.ticket_id)
        answer = scheduler.Outgoing(ticket.entry, queued)
        known = self.line.get(ticket.ticket_id)
        if known is not None:
            known.refreshed_at = now
            return [answer]
        if self.suspicion.judge(ticket, now):
            reason = messages.RefusalReason.QUARANTINED
            wait = retry.wait_seconds(ticket.ticket_id, retry.MAX_SECONDS)
            return [self.refusal(ticket, reason, wait, now)]
        waiting = self.line[ticket.ticket_id] = self.wait(ticket, now)
        if ticket.copy_at is not None:
            self.continued[ticket.ticket_id] = waiting
        self.admission.record_arrival(waiting, now)
        return [answer, *self.decide(now)]

    def wait(self, ticket: messages.Ticket, now: ids.Instant) -> waitingticket.Waiting:
        """Return the line's record of a ticket and count its arrival."""
        estimate = self.views.estimate(ticket, now)
        slot_seconds = estimate.slot_seconds
        flow = self.shares.flow(ticket.tier_rank, ticket.urgency, slot_seconds)
        end_by = now + ticket.remaining - waitingline.MARGIN
        start_by = end_by - estimate.total
        if ticket.patience > 0.0:
            leaves_at = now + ticket.patience - estimate.first - waitingline.MARGIN
            start_by = min(start_by, leaves_at)
        goal_at = ids.Instant(now + ticket.goal if ticket.goal > 0.0 else math.inf)
        earlier = self.attempts.find_or_add(ticket, goal_at, now)
        if earlier is not None:
            goal_at = earlier.goal_at
        elif ticket.waited < inflow.FRESH_SECONDS:
            self.inflow.record(ticket.tier_rank, slot_seconds, now)
            self.shares.record_arrival(flow, slot_seconds, now)
            self.accounts.record_arrival(ticket, slot_seconds, now)
        return waitingticket.Waiting(
            ticket=ticket,
            since=ids.Instant(now - ticket.waited),
            refreshed_at=now,
            goal_at=goal_at,
            start_by=ids.Instant(start_by),
            end_by=ids.Instant(end_by),
            best_first=estimate.first,
            slot_seconds=slot_seconds,
            flow=flow,
            attempt=earlier or self.attempts.find(ticket, now),
            has_returned=earlier is not None,
            keeps_promise=earlier is not None and earlier.is_due(now - ticket.waited),
        )

    def withdraw(
        self, ticket_id: ids.TicketId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.line.pop(ticket_id, None)
        self.views.release(ticket_id)
        return self.decide(now)

    def apply_statement(
        self,
        entry: ids.InstanceId,
        stated: messages.ServerStatement,
        now: ids.Instant,
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server = self.views.servers.get(stated.server)
        if server is None or server.spec.start != stated.start:
            return []
        server.restrictions.apply(entry, stated, now)
        return self.decide(now)

    def progress(
        self, progress: messages.Progress, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        server = self.views.server_by_ticket.get(progress.ticket_id)
        if server is None:
            return []
        self.views.record_load(progress, now)
        run = server.runs[progress.ticket_id]
        run.has_first_token = True
        run.first_token_at = now
        server.last_activity = now
        server.reported_at[run.ticket.entry] = now
        server.restrictions.record_service(run.started)
        server.learn_first_token(run, progress.first_token_seconds, now)
        return []

    def done(self, done: messages.Done, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.views.record_load(done, now)
        is_answered = done.is_rejected or done.outcome in outcomes.KNOWN_OUTCOMES
        released = self.views.release(done.ticket_id, is_answered)
        view, run = released or (None, None)
        entry = None if run is None else run.ticket.entry
        is_path_lost = self.paths.explains(entry, done, now)
        if done.outcome is messages.Outcome.CRASHED:
            self.suspicion.note_loss(done.server, now)
        server = self.views.servers.get(done.server)
        if server is not None and server.spec.start == done.start:
            outcomes.record(server, done, run, is_path_lost, now)
        if run is not None:
            view.reported_at[entry] = now
            # A request that crashes any server says nothing of the server's version.
            is_guilty = self.suspicion.is_quarantined(run.ticket, now)
            if not is_path_lost and not is_guilty:
                self.exposure.record_end(view.spec, run.ticket.route, done)
            if done.outcome is messages.Outcome.COMPLETED:
                if done.is_success:
                    began = ids.Instant(now - done.writing_seconds)
                    self.suspicion.answered(run.ticket, began, now)
                view.learn_completion(run, done, now)
                view.restrictions.record_service(run.started)
            view.load.record_end(run.started, len(view.runs), now)
        return self.decide(now)

    def report(
        self,
        server: ids.BackendServerId,
        load: engine.LoadReport | None,
        now: ids.Instant,
    ) -> list[scheduler.Outgoing]:
        """See Scheduler; ignored, since load reports are too old to decide by."""
        return []

    def lose_entry(
        self, entry: ids.InstanceId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        for ticket_id in [i for i, w in self.line.items() if w.ticket.entry == entry]:
            del self.line[ticket_id]
        self.views.release_entry(entry)
        return self.decide(now)

    def tick(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        if now < self.next_review:
            return []
        self.next_review = ids.Instant(now + REVIEW_INTERVAL)
        self.expire_stale(now)
        self.suspect_runs.note_writing(now)
        if now >= self.next_expiry:
            self.next_expiry = ids.Instant(now + EXPIRY_INTERVAL)
            self.attempts.expire(now)
        return self.decide(now)

    def expire_stale(self, now: ids.Instant) -> None:
        """Drop tickets and slots that their entries have stopped refreshing."""
        since = now - scheduler.REFRESH_TIMEOUT
        for ticket_id in [i for i, w in self.line.items() if w.refreshed_at < since]:
            del self.line[ticket_id]
        self.views.release_stale(now)

    def decide(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """Grant free slots in order, and refuse tickets that can't start in time."""
        if not self.line:
            # Entries mustn't refuse what could be granted at once.
            return self.notices_if(True, now)
        outgoing = self.refuse_quarantined(now)
        outgoing.extend(self.continue_streams(now))
        if now < self.gather_until:
            return outgoing
        outgoing.extend(self.fill(now))
        if len(self.line) <= SHORT_LINE or now >= self.next_forecast:
            self.next_forecast = ids.Instant(now + FORECAST_INTERVAL)
            outgoing.extend(self.refuse_too_late(now))
        return outgoing

    def refuse_quarantined(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """Refuse the tickets that must not run any more, once the suspicion changed."""
        if self.suspicion.version == self.judged_version:
            return []
        tickets = [waiting.ticket for waiting in self.line.values()]
        for ticket in tickets:
            self.suspicion.judge(ticket, now)
        self.judged_version = self.suspicion.version
        refused = [one for one in tickets if self.suspicion.is_quarantined(one, now)]
        for ticket in refused:
            del self.line[ticket.ticket_id]
        reason = messages.RefusalReason.QUARANTINED
        return [
            self.refusal(
                one, reason, retry.wait_seconds(one.ticket_id, retry.MAX_SECONDS), now
            )
            for one in refused
        ]

    def ordered(self, now: ids.Instant) -> list[waitingticket.Waiting]:
        """Return the waiting tickets, sorted."""
        return sorted(self.line.values(), key=self.sort_keys(now))

    def sort_keys(self, now: ids.Instant) -> turns.SortKeyOf:
        """Return the function that finds the sort key of a waiting ticket."""
        levels = self.shares.service_levels()
        return lambda w: waitingline.sort_key(
            w,
            levels,
            self.views.is_bound(w.ticket),
            now,
            self.accounts.standing(w.ticket, now).excess,
        )

    def refuse_too_late(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """Refuse the tickets that are forecast to start too late."""
        outgoing = []
        for found in self.forecasts(now):
            is_overload = found.reason is messages.RefusalReason.OVERLOAD
            policy = self.admission if is_overload else admission.BY_DEADLINE
            refused = admission.in_fair_order(found.too_late, self.accounts, now)
            for waiting, seconds, least in refused:
                del self.line[waiting.ticket.ticket_id]
                wait = policy.retry_after(waiting, seconds, now, least)
                cause = policy.explain(waiting, seconds, now)
                refusal = self.refusal(
                    waiting.ticket,
                    found.reason,
                    wait,
                    now,
                    cause,
                    waiting.promised_seconds(now) if is_overload else 0.0,
                )
                outgoing.append(refusal)
        return outgoing

    def forecasts(self, now: ids.Instant) -> list[waitingline.Forecast]:
        """Return the forecasts of the line, and of the streams of each version."""
        line = []
        bound: dict[ids.SoftwareVersion, list[waitingticket.Waiting]] = {}
        for waiting in self.ordered(now):
            if waiting.ticket.copy_at is not None:
                # It takes no slot from the others.
                continue
            is_bound = self.views.is_bound(waiting.ticket)
            own = bound.setdefault(waiting.ticket.version, []) if is_bound else line
            own.append(waiting)
        servers = self.eligible_servers()
        found = [
            waitingline.forecast(line, servers, self.inflow, now, policy=self.admission)
        ]
        for version, streams in bound.items():
            servers = self.resuming_servers(version)
            if servers:
                forecast = waitingline.forecast(
                    streams,
                    servers,
                    self.inflow,
                    now,
                    is_bound=True,
                    policy=self.admission,
                )
            else:
                forecast = waitingline.forecast_of_lost_version(streams)
            found.append(forecast)
        return found

    def continue_streams(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """Grant streams the servers with their copies, before all other tickets.

        A server admits such a request first, so neither free slots nor the reports of
        running requests are waited for.
        """
        self.continued = {
            name: one for name, one in self.continued.items() if name in self.line
        }
        outgoing = []
        for waiting in self.continued.values():
            ticket = waiting.ticket
            server = self.views.servers.get(ticket.copy_at)
            suspects = self.suspicion.suspects(ticket, now)
            if server is None or suspects.must_run_alone:
                del self.line[ticket.ticket_id]
                reason = messages.RefusalReason.NO_BACKEND_SERVER
                cause = f"can't go on from its copy at {ticket.copy_at}"
                wait = waitingticket.NO_SERVER_SECONDS
                outgoing.append(self.refusal(ticket, reason, wait, now, cause))
            elif not suspects.must_wait and self.may_start(waiting, suspects, now):
                outgoing.append(self.grant(waiting, server, now))
        return outgoing

    def fill(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """Grant free slots to tickets in order."""
        self.suspect_runs.release(self.line, now)
        free = with_free_slots(self.views.servers.values(), now)
        shared = self.suspect_runs.unreserved(free)
        receiving = self.receiving(shared)
        self.crossing.begin(self.views.servers.values(), free, now)
        outgoing = []
        # The line is sorted only if a slot is free: under overload, none is after most
        # events.
        if not free:
            return outgoing
        for waiting in turns.in_turn(self.line.values(), self.sort_keys(now)):
            if not free:
                break
            ticket = waiting.ticket
            if ticket.copy_at is not None or self.crossing.holds(waiting, now):
                continue
            suspects = self.suspicion.suspects(ticket, now)
            if suspects.must_wait or not self.may_start(waiting, suspects, now):
                continue
            permitted = receiving if ticket.version is None else self.resuming(shared)
            if suspects.must_run_alone:
                allowed = self.views.allowed(ticket, permitted, now)
                server = self.suspect_runs.server_alone(ticket, allowed, now)
            elif permitted:
                allowed = self.views.allowed(ticket, permitted, now)
                reached = self.paths.prefer_reached(ticket.entry, allowed, now)
                server = self.crossing.choose(waiting, reached, self.exposure, now)
            else:
                continue
            if server is not None:
                outgoing.append(self.grant(waiting, server, now))
            if server is not None or suspects.must_run_alone:
                free = with_free_slots(free, now)
                shared = self.suspect_runs.unreserved(free)
                receiving = self.receiving(shared)
        return outgoing

    def may_start(
        self,
        waiting: waitingticket.Waiting,
        suspects: suspicion.Suspects,
        now: ids.Instant,
    ) -> bool:
        """Tell whether a ticket needn't wait for others that are suspected alike."""
        keys = set(suspects.keys)
        line = self.line.values()
        return not keys or self.suspect_runs.may_start(waiting, keys, line, now)

    def grant(
        self,
        waiting: waitingticket.Waiting,
        server: backendview.BackendView,
        now: ids.Instant,
    ) -> scheduler.Outgoing:
        """Grant a slot to a waiting ticket."""
        ticket = waiting.ticket
        del self.line[ticket.ticket_id]
        run = self.views.start(ticket, server, now)
        server.record_grant(now)
        if ticket.copy_at is not None:
            run.is_adopted = True
        elif ticket.wants_copy:
            others = self.suspect_runs.unreserved(self.views.servers.values())
            run.copy_at = self.copies.choose(ticket, server, others, now)
        self.admission.record_grant(waiting, now)
        self.exposure.record_grant(server.spec)
        if now + run.first <= waiting.goal_at:
            self.shares.record_grant(waiting.flow, now)
        log.info(
            "granted {} after {:.3f} s: tier {} urgency {}, {} waiting, {} of {} slots "
            "used, first event in {:.3f} s, goal in {:.3f} s, pool revision {}{}",
            server.name,
            now - waiting.since,
            ticket.tier_rank,
            ticket.urgency,
            len(self.line),
            len(server.runs),
            server.spec.slots,
            run.first,
            waiting.goal_at - now,
            revisions.text(self.revision),
            copying.describe(ticket, run),
            extra={"request": ticket.request_id},
        )
        return self.grant_message(ticket, server)

    def grant_message(
        self, ticket: messages.Ticket, server: backendview.BackendView
    ) -> scheduler.Outgoing:
        """Return the message that grants a ticket its slot."""
        run = server.runs[ticket.ticket_id]
        copy = self.views.servers.get(run.copy_at)
        grant = messages.Grant(
            ticket_id=ticket.ticket_id,
            cell=ticket.cell,
            server=server.name,
            host=server.spec.host,
            port=server.spec.port,
            alone=self.suspect_runs.is_alone(ticket),
            first_seconds=server.announced_first_seconds(run),
            start=server.spec.start,
            revision=self.revision,
            request_limit=server.restrictions.request_limit,
            version=server.spec.version,
            copy_server=None if copy is None else copy.name,
            copy_host="" if copy is None else copy.spec.host,
            copy_port=0 if copy is None else copy.spec.port,
        )
        return scheduler.Outgoing(ticket.entry, grant)

    def refusal(
        self,
        ticket: messages.Ticket,
        reason: messages.RefusalReason,
        wait: float,
        now: ids.Instant,
        cause: str = "",
        promised: float = 0.0,
    ) -> scheduler.Outgoing:
        """Return the message that refuses a ticket for some seconds, and log it."""
        log.info(
            "refused: {}, tier {} urgency {}, {} waiting, {} running, "
            "may return in {:.3f} s{}",
            reason.value,
            ticket.tier_rank,
            ticket.urgency,
            len(self.line),
            len(self.views.server_by_ticket),
            wait,
            f": {cause}" if cause else "",
            extra={"request": ticket.request_id, "final": True},
        )
        refusal = messages.Refusal(
            ticket_id=ticket.ticket_id,
            reason=reason,
            retry_after=wait,
            promised_seconds=promised,
        )
        return scheduler.Outgoing(ticket.entry, refusal)


def with_free_slots(
    servers: Iterable[backendview.BackendView], now: ids.Instant
) -> list[backendview.BackendView]:
    """Return the servers that have a free slot."""
    return [server for server in servers if server.free_slots(now) > 0]
