"""One request from its acceptance to the end of its answer."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import logbook
import msgspec
from aiohttp import web

from tealcove import clock, errors, ids
from tealcove.backends import engine, reach
from tealcove.catalog import declared
from tealcove.dispatch import messages, pending, requester
from tealcove.entry import problem
from tealcove.ingress import (
    answers,
    budget,
    events,
    failures,
    link,
    stream,
    tickets,
)
from tealcove.ingress import report as reporting

log = logbook.Logger("ingress")

# Servers that may turn out unreachable, or turn a request away, before it's given
# up; both cost a few milliseconds each.
MOST_UNREACHED = 4
MOST_TURNED_AWAY = 3
# Seconds that must be left for one more sending to make sense.
LEAST_SECONDS = 0.05
# Seconds after which a caller whose request no server took may try again.
RETRY_AFTER = 0.5
# A server that shows nothing for so many times what was predicted, and for so many
# seconds, has probably lost the answer: at three lost answers in ten, callers would
# wait until they leave, 2 s and more. Few answers take four times as long as predicted.
SILENCE_FACTOR = 4.0
LEAST_SILENCE = 0.4
# Largest answer that is gathered before it goes out, in bytes.
MOST_GATHERED = 8 * 2**20
HTTP_SERVER_ERROR = 500


# The rest of an answer, after its head.
Parts = AsyncGenerator[link.Head | bytes, None]


class Services(msgspec.Struct, frozen=True):
    """What exchanges use."""

    link: link.BackendLink
    tickets: requester.Requester
    budget: budget.RetryBudget
    entry: tickets.Entry


class Gathered(msgspec.Struct, frozen=True):
    """A whole answer of a backend server."""

    head: link.Head
    body: bytes


class Exchange:
    """Finds a server, sends the request, and passes the answer on.

    The caller's own task runs it: when the caller leaves, the task is cancelled,
    which closes the connection to the server and gives the slot back.
    """

    def __init__(
        self,
        services: Services,
        terms: tickets.Terms,
        cell: ids.CellId,
        http: web.Request,
    ) -> None:
        self.http = http
        self.services = services
        self.terms = terms
        self.cell = cell
        self.excluded: tuple[ids.BackendServerId, ...] = ()
        self.sent = 0
        # Sendings after which the request may have run.
        self.runs = 0
        self.unreached = 0
        self.turned_away = 0
        # The last whole answer of a server that failed.
        self.failure: Gathered | None = None
        self.stream = stream.CallerStream(http, terms.call.last_event)
        # Events of the present sending.
        self.events = 0
        self.ended = problem.Outcome.COMPLETED.value

    def say(self, message: str, *arguments: object) -> None:
        """Log a decision about this request."""
        extra = {"request": self.terms.call.request_id}
        log.info(message, *arguments, extra=extra)

    def say_end(self, message: str, *arguments: object) -> None:
        """Log why this request isn't served, however much else is logged."""
        extra = {"request": self.terms.call.request_id, "final": True}
        log.info(message, *arguments, extra=extra)

    async def run(self) -> web.StreamResponse:
        """Return the answer; raises ProblemError while none has begun.

        An answer that has begun and can't be ended breaks the connection.
        """
        try:
            async with asyncio.timeout(self.terms.deadline - clock.now()):
                return await self.serve()
        except TimeoutError:
            return self.give_up(self.late())
        except problem.ProblemError as error:
            return self.give_up(error)
        except ConnectionResetError:
            if self.stream.response is None:
                raise
            # The caller left while a part of its answer was written.
            self.ended = problem.CALLER_GONE
            answers.break_off(self.http)
            return self.stream.response

    async def serve(self) -> web.StreamResponse:
        """Send the request until a server has answered it; raises ProblemError."""
        while True:
            hold, grant = await self.obtain()
            try:
                return await self.attempt(hold, grant)
            except errors.BackendError as error:
                self.consider(grant.server, error, clock.now())

    def give_up(self, error: problem.ProblemError) -> web.StreamResponse:
        """End a request that has no whole answer; raises ProblemError."""
        found = error.problem
        self.ended = found.outcome.value
        self.say_end(
            "ends {}: {} {}, {} sent, {} may have run, after {:.3f} s",
            found.outcome.value,
            found.status,
            found.reason,
            self.sent,
            self.runs,
            clock.now() - self.terms.arrived,
        )
        if self.stream.response is not None:
            answers.break_off(self.http)
            return self.stream.response
        if self.failure is not None:
            return answers.whole(self.failure.head, self.failure.body)
        raise error

    async def obtain(self) -> tuple[pending.PendingTicket, messages.Grant]:
        """Return a slot; raises ProblemError when there is none in time."""
        now = clock.now()
        hold = tickets.new(
            self.terms,
            self.cell,
            self.services.entry,
            self.excluded,
            self.stream.response is not None,
            now,
        )
        try:
            found = await self.services.tickets.obtain(hold)
        except asyncio.CancelledError:
            self.services.tickets.abandon(hold)
            raise
        if isinstance(found, messages.Refusal):
            if self.runs:
                raise self.lost(found.reason.value)
            raise problem.not_run(found.reason, found.retry_after)
        return hold, found

    async def attempt(
        self, hold: pending.PendingTicket, grant: messages.Grant
    ) -> web.StreamResponse:
        """Send the request to the granted server and pass its answer on.

        Raises BackendError when there is none to pass on.
        """
        report = reporting.Report(self.services.tickets, hold, grant)
        server = engine.Server(grant.server, grant.host, grant.port)
        outcome = messages.Outcome.CANCELLED
        self.events = 0
        try:
            response = await self.send(report, server)
            outcome = messages.Outcome.COMPLETED
            return response
        except engine.NotDispatchedError:
            outcome = messages.Outcome.NOT_SENT
            raise
        except link.NotRunError:
            # The server is well; it only has no room, or isn't who it was.
            outcome = messages.Outcome.CANCELLED
            raise
        except engine.BrokenStreamError:
            outcome = messages.Outcome.FAILED
            if await reach.refuses(server):
                outcome = messages.Outcome.CRASHED
            raise
        except errors.BackendError:
            outcome = messages.Outcome.FAILED
            raise
        finally:
            self.note_end(report, outcome, clock.now())

    def note_end(
        self, report: reporting.Report, outcome: messages.Outcome, now: ids.Instant
    ) -> None:
        """Tell the dispatcher, and the log, how one sending has ended."""
        done = report.end(outcome, self.events * self.terms.event_tokens, now)
        self.say(
            "{} at {}: first event {:.3f} s, total {:.3f} s, {} events, prompt {}",
            outcome.value,
            done.server,
            done.first_token_seconds,
            done.total_seconds,
            self.events,
            done.prompt_tokens,
        )

    async def send(
        self, report: reporting.Report, server: engine.Server
    ) -> web.StreamResponse:
        """Send the request once; raises BackendError."""
        terms = self.terms
        now = clock.now()
        sending = link.Sending(
            call=terms.call,
            server=server,
            account=None if terms.account is None else terms.account.name,
            remaining=max(LEAST_SECONDS, terms.deadline - now),
            last_event=self.stream.order.last,
        )

        def dispatched() -> None:
            if not self.sent:
                self.services.budget.record_request(terms.service, clock.now())
            self.sent += 1
            self.runs += 1
            report.dispatched(clock.now())
            self.say(
                "sent to {} ({} of {}), first event expected in {:.3f} s",
                server.name,
                self.runs,
                terms.route.name,
                report.grant.first_seconds,
            )

        answer = self.services.link.send(sending, dispatched)
        silence = asyncio.timeout(self.silence_seconds(report.grant, now))
        try:
            async with contextlib.aclosing(answer) as parts, silence:
                head = await anext(parts)
                if terms.route.is_stream and head.is_success:
                    return await self.relay(head, parts, report, silence)
                body = await gather(server, parts)
        except TimeoutError:
            raise failures.silent(server) from None
        return self.pass_on(Gathered(head, body), server)

    def silence_seconds(self, grant: messages.Grant, now: ids.Instant) -> float | None:
        """Return after how many silent seconds another server is tried, if any."""
        if not grant.first_seconds or not self.may_run_again(now, self.runs + 1):
            return None
        if not self.services.budget.can_retry(self.terms.service, now):
            return None
        return max(LEAST_SILENCE, SILENCE_FACTOR * grant.first_seconds)

    def pass_on(self, found: Gathered, server: engine.Server) -> web.StreamResponse:
        """Return a whole answer; raises BackendError for one worth another run."""
        if found.head.status >= HTTP_SERVER_ERROR:
            self.failure = found
            raise failures.failed(server, found.head.status)
        return answers.whole(found.head, found.body)

    async def relay(
        self,
        head: link.Head,
        parts: Parts,
        report: reporting.Report,
        silence: asyncio.Timeout,
    ) -> web.StreamResponse:
        """Pass a stream on, event by event; raises BackendError when it breaks."""
        splitter = events.Splitter()
        async for part in parts:
            whole = splitter.feed(part)
            if not whole:
                continue
            self.stream.check(whole)
            if not self.events:
                silence.reschedule(None)
                report.first_event(clock.now())
            self.events += len(whole)
            await self.stream.pass_on(head, whole)
        return await self.stream.end(head, splitter.rest)

    def consider(
        self, server: ids.BackendServerId, error: errors.BackendError, now: ids.Instant
    ) -> None:
        """Decide on one more sending; raises ProblemError when there is none."""
        self.excluded = (*self.excluded, server)
        if isinstance(error, engine.NotDispatchedError):
            self.unreached += 1
            may_go_on = self.unreached < MOST_UNREACHED
        elif isinstance(error, link.NotRunError):
            self.runs -= 1
            self.turned_away += 1
            may_go_on = self.turned_away < MOST_TURNED_AWAY
            may_go_on = may_go_on and self.take_retry(now)
        else:
            may_go_on = self.may_run_again(now, self.runs) and self.take_retry(now)
        self.say("{} at {}: {}", "again" if may_go_on else "no more", server, error)
        if may_go_on and self.terms.deadline - now > LEAST_SECONDS:
            return
        if self.runs:
            raise self.lost("backend_server")
        reason = messages.RefusalReason.NO_BACKEND_SERVER
        raise problem.not_run(reason, RETRY_AFTER)

    def may_run_again(self, now: ids.Instant, runs: int) -> bool:
        """Tell whether a request may run once more after so many runs."""
        route = self.terms.route
        is_once = route.repeat is declared.Repeat.ONCE
        has_time = self.terms.deadline - now > LEAST_SECONDS
        return has_time and not is_once and runs < route.attempts

    def take_retry(self, now: ids.Instant) -> bool:
        """Tell whether a repeat is within the bounds of all requests together."""
        return self.services.budget.take_retry(self.terms.service, now)

    def lost(self, reason: str) -> problem.ProblemError:
        """Return the end of a request that was sent and has no whole answer."""
        if self.terms.is_repeatable:
            return problem.interrupted(reason)
        return problem.unknown(reason)

    def late(self) -> problem.ProblemError:
        """Return the end of a request whose time is over."""
        if self.runs:
            return self.lost(messages.RefusalReason.DEADLINE.value)
        return problem.not_run(messages.RefusalReason.DEADLINE, RETRY_AFTER)


async def gather(server: engine.Server, parts: Parts) -> bytes:
    """Return a whole body; raises BackendError."""
    found = bytearray()
    async for part in parts:
        found += part
        if len(found) > MOST_GATHERED:
            raise failures.broken(f"{server.name} sent more than {MOST_GATHERED} bytes")
    return bytes(found)
