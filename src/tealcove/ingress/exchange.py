"""Runs one accepted request until its response ends, with retries."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import logbook
import msgspec
from aiohttp import web

from tealcove import clock, errors, ids
from tealcove.backends import engine
from tealcove.callermemory import answer, holding
from tealcove.catalog import declared
from tealcove.dispatch import messages, pending, requester
from tealcove.entry import problem, progress
from tealcove.ingress import (
    budget,
    events,
    failures,
    hanging,
    link,
    observer,
    responses,
    retries,
    stream,
    streamcopy,
    tickets,
)
from tealcove.ingress import report as reporting
from tealcove.instances import figures
from tealcove.limits import admission
from tealcove.origins import role as origins
from tealcove.quarantine import role as quarantine_role

log = logbook.Logger("ingress")

# Servers that may be unreachable, or respond that they haven't run the request, before
# it fails; each such attempt costs a few milliseconds.
MAX_UNREACHABLE = 4
MAX_NOT_RUN = 3
# Seconds after which a caller may retry a request that no server accepted.
RETRY_AFTER = 0.5
# A server that is silent for this multiple of the predicted time, and for at least this
# many seconds, has probably lost the response: with three in ten responses lost,
# callers would wait until they disconnect, 2 s and more. Few responses take four times
# as long as predicted.
SILENCE_FACTOR = 4.0
MIN_SILENCE = 0.4
# Size limit in bytes of a response that is buffered before it is forwarded.
MAX_BODY_BYTES = 8 * 2**20
# Bytes of the headers of a request and of its response, for the estimate of traffic.
HEADERS_BYTES = 1000
HTTP_REDIRECTION = 300
HTTP_SERVER_ERROR = 500


# The parts of a response that follow its head.
ResponseParts = AsyncGenerator[link.Head | bytes, None]


class Services(msgspec.Struct, frozen=True):
    """The services that an exchange uses."""

    link: link.BackendLink
    tickets: requester.Requester
    budget: budget.RetryBudget
    entry: tickets.EntryInstance
    streams: hanging.HangingStreams
    origins: origins.OriginFinder
    quarantine: quarantine_role.Quarantine
    # Counts the bodies that are passed on in either direction.
    traffic: figures.Traffic = msgspec.field(default_factory=figures.Traffic)
    copying: streamcopy.Copying = msgspec.field(default_factory=streamcopy.Copying)


class BufferedResponse(msgspec.Struct, frozen=True):
    """A complete response of a backend server."""

    head: link.Head
    body: bytes


class Exchange:
    """Acquires a slot, sends the request, and forwards the response.

    Runs in the task of the caller's connection: when the caller disconnects, the task
    is cancelled, which closes the connection to the server and releases the slot.
    """

    def __init__(
        self,
        services: Services,
        accepted: tickets.AcceptedRequest,
        cell: ids.CellId,
        http: web.Request,
        current: progress.Progress,
        charge: admission.Charge,
        version: ids.SoftwareVersion | None = None,
    ) -> None:
        self.http = http
        self.progress = current
        # What the account was charged in advance.
        self.charge = charge
        # The version that began the stream; None: any may run the request.
        self.version = version
        self.services = services
        self.accepted = accepted
        self.cell = cell
        self.excluded: tuple[ids.BackendServerId, ...] = ()
        self.sent = 0
        # Attempts in which the request may have run.
        self.runs = 0
        self.unreachable = 0
        self.not_run_responses = 0
        self.retries = retries.RequestRetries(services.budget, accepted.service)
        # The last complete response with a server error.
        self.failure: BufferedResponse | None = None
        self.stream = stream.CallerStream(http, accepted.call.last_event)
        self.copy = streamcopy.StreamCopy(services.copying, accepted.route)
        # Events forwarded in the current attempt.
        self.events = 0
        self.outcome = problem.Outcome.COMPLETED.value
        self.reason = ""
        # Seconds from the arrival until the first slot was granted; None: none was.
        self.waited: float | None = None

    def log_decision(self, message: str, *arguments: object) -> None:
        """Log a decision about this request."""
        extra = {"request": self.accepted.call.request_id}
        log.info(message, *arguments, extra=extra)

    def log_failure(self, message: str, *arguments: object) -> None:
        """Log why this request failed, at every log level."""
        extra = {"request": self.accepted.call.request_id, "final": True}
        log.info(message, *arguments, extra=extra)

    async def run(self) -> web.StreamResponse:
        """Return the response; raises ProblemError if none has started.

        A response that has started and can't be completed aborts the connection.
        """
        try:
            async with self.progress.step(self.accepted.deadline - clock.now()):
                return await self.serve()
        except TimeoutError:
            return self.end_with_problem(self.out_of_time())
        except problem.ProblemError as error:
            return self.end_with_problem(error)
        except ConnectionResetError:
            if self.stream.response is None:
                raise
            # The caller disconnected during a write of the response.
            self.outcome = problem.CALLER_GONE
            responses.abort_connection(self.http)
            return self.stream.response
        finally:
            self.retries.release()
            if not self.runs:
                self.charge.settle(0.0)

    async def serve(self) -> web.StreamResponse:
        """Send the request until a server responds; raises ProblemError."""
        while True:
            pending_ticket, grant = await self.acquire_slot()
            try:
                return await self.attempt(pending_ticket, grant)
            except errors.BackendError as error:
                self.check_retry(
                    pending_ticket.ticket, grant.server, error, clock.now()
                )

    def end_with_problem(self, error: problem.ProblemError) -> web.StreamResponse:
        """End a request without a complete response; raises ProblemError."""
        found = error.problem
        self.outcome = found.outcome.value
        self.reason = found.reason
        if self.copy.server is not None:
            self.copy.record_loss()
            self.log_decision(
                "doesn't go on from its copy at {}: {}",
                self.copy.server,
                self.copy.obstacle or found.reason,
            )
        self.log_failure(
            "failed: {}, status {}, reason {}, {} sent, {} may have run, {:.3f} s, {}",
            found.outcome.value,
            found.status,
            found.reason,
            self.sent,
            self.runs,
            clock.now() - self.accepted.arrived,
            self.accepted.description,
        )
        if self.stream.response is not None:
            responses.abort_connection(self.http)
            return self.stream.response
        if self.failure is not None:
            return responses.buffered_response(self.failure.head, self.failure.body)
        raise error

    async def acquire_slot(self) -> tuple[pending.PendingTicket, messages.Grant]:
        """Return a ticket and its grant; raises ProblemError if refused."""
        now = clock.now()
        pending_ticket = tickets.new_ticket(
            self.accepted,
            self.cell,
            self.services.entry,
            self.excluded,
            self.stream.response is not None,
            now,
            self.version,
            self.copy.is_wanted,
            self.copy.server,
        )
        try:
            found = await self.services.tickets.obtain(pending_ticket)
        except asyncio.CancelledError:
            self.services.tickets.abandon(pending_ticket)
            raise
        ticket = pending_ticket.ticket
        if isinstance(found, messages.Refusal):
            if found.reason is messages.RefusalReason.QUARANTINED:
                raise self.quarantined(ticket)
            if self.runs:
                raise self.lost_response(found.reason.value)
            raise problem.not_run(found.reason, found.retry_after)
        if self.services.quarantine.is_quarantined(ticket, clock.now()):
            # Found guilty since the slot was granted.
            self.services.tickets.abandon(pending_ticket)
            raise self.quarantined(ticket)
        if self.waited is None:
            self.waited = clock.now() - self.accepted.arrived
        return pending_ticket, found

    def quarantined(self, ticket: messages.Ticket) -> problem.ProblemError:
        """Return the problem for a request that crashes backend servers."""
        reason = messages.RefusalReason.QUARANTINED
        if self.runs:
            return self.lost_response(reason.value)
        quarantine = self.services.quarantine
        now = clock.now()
        quarantine.record_refusal(ticket.request_id, ticket.digest, ticket.parts, now)
        remaining = quarantine.remaining(ticket.digest, ticket.parts, now)
        return problem.not_run(reason, max(RETRY_AFTER, remaining))

    async def attempt(
        self, pending_ticket: pending.PendingTicket, grant: messages.Grant
    ) -> web.StreamResponse:
        """Send the request to the granted server and forward its response.

        Raises BackendError if there is no response to forward.
        """
        report = reporting.AttemptReport(self.services.tickets, pending_ticket, grant)
        self.copy.record_attempt()
        outbound = self.outbound(report)
        outcome = messages.Outcome.CANCELLED
        self.events = 0
        try:
            response = await self.send(report, outbound)
            report.is_success = response.status < HTTP_REDIRECTION
            outcome = messages.Outcome.COMPLETED
            return response
        except engine.NotDispatchedError:
            outcome = messages.Outcome.NOT_SENT
            if report.sent_at is not None:
                # It was written to another instance, which sent nothing to the server.
                self.runs -= 1
            raise
        except link.NotRunError as error:
            # The server is healthy; it has no capacity, or has been replaced.
            report.answered(error.statement, clock.now())
            # One that has no copy may still have room.
            report.is_rejected = error.is_rejection and not outbound.is_continued
            outcome = messages.Outcome.CANCELLED
            raise
        except engine.BrokenStreamError:
            outcome = messages.Outcome.FAILED
            if await self.has_crashed(pending_ticket.ticket, outbound):
                outcome = messages.Outcome.CRASHED
                self.copy.record_crash(grant)
            raise
        except errors.BackendError:
            outcome = messages.Outcome.FAILED
            raise
        finally:
            self.report_end(report, outcome, clock.now())

    async def has_crashed(
        self, ticket: messages.Ticket, outbound: link.OutboundRequest
    ) -> bool:
        """Tell whether the server of an attempt that broke off has ended.

        Whether it is back already is asked only if that may show what crashed it, or
        lets the stream go on from its copy.
        """
        if await self.services.link.refuses_connections(outbound):
            return True
        has_copy = outbound.grant.copy_server is not None
        is_unproved = self.services.quarantine.is_unproved(ticket, clock.now())
        if not has_copy and not is_unproved:
            return False
        return await self.services.link.is_replaced(outbound)

    def report_end(
        self,
        report: reporting.AttemptReport,
        outcome: messages.Outcome,
        now: ids.Instant,
    ) -> None:
        """Report the end of an attempt to the dispatcher and the log."""
        done = report.end(outcome, self.events * self.accepted.event_tokens, now)
        self.log_decision(
            "{} at {}: first event {:.3f} s, total {:.3f} s, {} events, prompt {}{}",
            outcome.value,
            done.server,
            done.first_token_seconds,
            done.total_seconds,
            self.events,
            done.prompt_tokens,
            self.describe_service(outcome, now),
        )

    def describe_service(self, outcome: messages.Outcome, now: ids.Instant) -> str:
        """Return how a served request met its goals, for its last log line."""
        if outcome is not messages.Outcome.COMPLETED:
            return ""
        answered = self.stream.first_event_at or now
        seconds = answered - self.accepted.arrived
        pause = self.stream.longest_pause
        is_in_time = observer.is_within(self.accepted.route, seconds, pause)
        return (
            f"; served {'in time' if is_in_time else 'late'}: "
            f"{self.accepted.description}, waited {self.waited or 0.0:.3f} s, "
            f"answered after {seconds:.3f} s, longest pause {pause:.3f} s"
        )

    def outbound(self, report: reporting.AttemptReport) -> link.OutboundRequest:
        """Return what is sent for an attempt."""
        accepted = self.accepted
        grant = report.grant
        return link.OutboundRequest(
            call=accepted.call,
            server=engine.Server(grant.server, grant.host, grant.port),
            grant=grant,
            trace=report.trace,
            account=None if accepted.account is None else accepted.account.name,
            deadline=accepted.deadline,
            last_event=self.stream.order.last,
            is_continued=self.copy.is_used,
        )

    async def send(
        self, report: reporting.AttemptReport, outbound: link.OutboundRequest
    ) -> web.StreamResponse:
        """Send the request once; raises BackendError."""
        accepted = self.accepted
        server = outbound.server
        silence = self.services.streams.stalls.timeout(None)
        seconds = self.silence_timeout(report.grant, clock.now())

        def dispatched() -> None:
            if seconds is not None:
                silence.reschedule(asyncio.get_running_loop().time() + seconds)
            is_first = report.sent_at is None
            report.dispatched(clock.now())
            if not is_first:
                # Another instance sent nothing, and a second one is asked.
                return
            self.retries.record_sending(clock.now())
            self.sent += 1
            self.runs += 1
            self.copy.record_sending(report.grant)
            self.services.traffic.forward(len(accepted.call.body) + HEADERS_BYTES)
            self.log_decision(
                "dispatched to {} of version {} (run {}, route {}), first event "
                "expected in {:.3f} s",
                server.name,
                report.grant.version,
                self.runs,
                accepted.route.name,
                report.grant.first_seconds,
            )

        response = self.services.link.send(outbound, dispatched)
        try:
            async with contextlib.aclosing(response) as parts, silence:
                head = await anext(parts)
                report.answered(head.statement, clock.now())
                if accepted.route.is_stream and head.is_success:
                    self.record_continuation(server)
                    watched = hanging.OpenStream(outbound, self.reserve_retry, silence)
                    with self.services.streams.watched(watched):
                        return await self.relay_stream(head, parts, report, watched)
                body = await self.read_body(server, parts, head, silence)
                self.services.traffic.forward(len(body))
        except TimeoutError:
            raise failures.silent(server) from None
        return self.finish_response(BufferedResponse(head, body), server)

    async def read_body(
        self,
        server: engine.Server,
        parts: ResponseParts,
        head: link.Head,
        silence: asyncio.Timeout,
    ) -> bytes:
        """Return a complete body; raises BackendError."""
        held = holding.of_request(self.http, clock.now())

        async def keep(size: int, before: int) -> None:
            # A server isn't silent while there is no memory to read from it.
            def end_silence() -> None:
                silence.reschedule(None)

            await answer.wait_to_keep(held, size, before, end_silence)

        found = bytearray()
        kept = min(head.length or 0, MAX_BODY_BYTES)
        await keep(kept, 0)
        async for part in parts:
            found += part
            if len(found) > MAX_BODY_BYTES:
                raise failures.broken(
                    f"{server.name} sent more than {MAX_BODY_BYTES} bytes"
                )
            if len(found) > kept:
                await keep(len(found) - kept, kept)
                kept = len(found)
        return bytes(found)

    def silence_timeout(self, grant: messages.Grant, now: ids.Instant) -> float | None:
        """Return the seconds of silence before a retry; None for no limit."""
        if not grant.first_seconds or not self.may_retry(now, self.runs + 1):
            return None
        if not self.retries.is_allowed(now):
            return None
        return max(MIN_SILENCE, SILENCE_FACTOR * grant.first_seconds)

    def reserve_retry(self, now: ids.Instant) -> bool:
        """Reserve a retry for when the current attempt has ended, if one is allowed."""
        return self.may_retry(now, self.runs) and self.retries.reserve(now)

    def finish_response(
        self, found: BufferedResponse, server: engine.Server
    ) -> web.StreamResponse:
        """Return the response; raises BackendError for a server error.

        Once the stream to the caller has begun, any other response is one.
        """
        has_begun = self.stream.response is not None
        if has_begun or found.head.status >= HTTP_SERVER_ERROR:
            self.failure = found
            raise failures.failed(server, found.head.status)
        return responses.buffered_response(found.head, found.body)

    async def relay_stream(
        self,
        head: link.Head,
        parts: ResponseParts,
        report: reporting.AttemptReport,
        watched: hanging.OpenStream,
    ) -> web.StreamResponse:
        """Forward a stream event by event; raises BackendError when it breaks."""
        splitter = events.Splitter()
        async for part in events.pieces(parts):
            self.services.traffic.forward(len(part))
            completed = splitter.feed(part)
            if len(splitter.remainder) > events.MAX_EVENT_BYTES:
                raise failures.broken(
                    f"an event has more than {events.MAX_EVENT_BYTES} bytes"
                )
            if not completed:
                continue
            self.stream.end_pause(clock.now())
            self.stream.check(completed)
            if not self.events:
                watched.limit.reschedule(None)
                report.first_event(clock.now())
                self.record_origin(report.grant, clock.now())
            self.events += len(completed)
            # An event that was accepted must be written whole.
            watched.waits_since = None
            await self.stream.forward(head, completed)
            watched.waits_since = self.stream.paused_at = clock.now()
        watched.waits_since = None
        return await self.stream.end(head, splitter.remainder)

    def record_continuation(self, server: engine.Server) -> None:
        """Record that the server goes on with the stream, if it does so from a copy."""
        if not self.copy.is_used:
            return
        self.copy.record_continuation()
        self.log_decision(
            "goes on from its copy at {} after event {}",
            server.name,
            self.stream.order.last,
        )

    def record_origin(self, grant: messages.Grant, now: ids.Instant) -> None:
        """Record the version of the stream, to which all later attempts are bound."""
        if self.version is None:
            self.version = self.services.tickets.version_of(grant)
        if self.version is None or self.accepted.route.repeat is not (
            declared.Repeat.RESUMABLE
        ):
            return
        call = self.accepted.call
        request = call.request_id
        if self.accepted.resumes_stream and call.resumes is not None:
            request = call.resumes
        self.services.origins.record(self.accepted.service, request, self.version, now)

    def check_retry(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        error: errors.BackendError,
        now: ids.Instant,
    ) -> None:
        """Return if the request may be sent again; raises ProblemError otherwise."""
        self.excluded = (*self.excluded, server)
        if self.copy.server is not None:
            if isinstance(error, link.NotRunError):
                # The run that was interrupted remains.
                self.runs -= 1
            has_retry = self.may_continue(ticket, error, now)
        elif isinstance(error, engine.NotDispatchedError):
            self.unreachable += 1
            has_retry = self.unreachable < MAX_UNREACHABLE
        elif isinstance(error, link.NotRunError):
            self.runs -= 1
            self.not_run_responses += 1
            has_retry = self.not_run_responses < MAX_NOT_RUN
            has_retry = has_retry and self.retries.reserve(now)
        elif self.services.quarantine.suspects(ticket, now).must_run_alone:
            # Another crash by the same request would show nothing new.
            has_retry = False
        else:
            has_retry = self.may_retry(now, self.runs) and self.retries.reserve(now)
        self.log_decision(
            "{} after {}: {}", "retry" if has_retry else "no retry", server, error
        )
        if has_retry and self.accepted.deadline - now > link.MIN_REMAINING:
            return
        if self.runs:
            raise self.lost_response("backend_server")
        reason = messages.RefusalReason.NO_BACKEND_SERVER
        raise problem.not_run(reason, RETRY_AFTER)

    def may_continue(
        self, ticket: messages.Ticket, error: errors.BackendError, now: ids.Instant
    ) -> bool:
        """Tell whether the request may be sent to the server with its copy."""
        found = self.copy.obstacle_after(error)
        if not found and self.services.quarantine.suspects(ticket, now).must_run_alone:
            found = "its content may have crashed its server"
        if not found and not self.stream.order.is_numbered:
            found = "one of its events had no number"
        if not found and self.accepted.deadline - now <= link.MIN_REMAINING:
            found = "no time is left"
        if not found and not self.retries.reserve(now):
            found = "the retry budget is used up"
        self.copy.obstacle = found
        return not found

    def may_retry(self, now: ids.Instant, runs: int) -> bool:
        """Return whether a request may run again after this many runs."""
        if self.stream.response is not None and self.version is None:
            # Nothing tells at which version the stream could go on.
            return False
        route = self.accepted.route
        is_once = route.repeat is declared.Repeat.ONCE
        has_time = self.accepted.deadline - now > link.MIN_REMAINING
        return has_time and not is_once and runs < route.attempts

    def lost_response(self, reason: str) -> problem.ProblemError:
        """Return the problem for a dispatched request without a complete response."""
        if self.accepted.is_repeatable:
            return problem.interrupted(reason)
        return problem.unknown(reason)

    def out_of_time(self) -> problem.ProblemError:
        """Return the problem for a request whose deadline or instance has ended."""
        reason = messages.RefusalReason.DEADLINE
        if self.progress.is_ended:
            reason = messages.RefusalReason.LEAVING
        if self.runs:
            return self.lost_response(reason.value)
        return problem.not_run(reason, RETRY_AFTER)
