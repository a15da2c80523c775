"""HTTP handler for callers of declared routes."""

from __future__ import annotations

import asyncio

import logbook
import msgspec
from aiohttp import web

from tealcove import clock, ids, inbound, measuring
from tealcove.accounts import tallies
from tealcove.admission import localrefusals
from tealcove.callermemory import body, budget
from tealcove.catalog import copies, declared
from tealcove.dispatch import messages, spread
from tealcove.entry import problem, progress
from tealcove.ingress import (
    acceptance,
    call,
    exchange,
    observer,
    responses,
    tickets,
)
from tealcove.instances import protection
from tealcove.limits import admission, central
from tealcove.quarantine import role as quarantine_role
from tealcove.storage import revisions

log = logbook.Logger("ingress")

HTTP_BAD_REQUEST = 400
HTTP_TOO_LARGE = 413
HTTP_TIMEOUT = 408
LEAVING_RETRY = 0.2


class Ingress:
    """Accepts requests and responds to each exactly once."""

    def __init__(
        self,
        services: exchange.Services,
        configuration: copies.ConfigurationCopy,
        spreading: spread.Spread,
        limits: central.CentralLimits,
        quarantine: quarantine_role.Quarantine,
        codec: responses.Codec,
        source: measuring.Source | None = None,
        counts: tallies.Tallies | None = None,
        early: localrefusals.LocalRefusals | None = None,
        memory: budget.Budget | None = None,
    ) -> None:
        self.early = early
        self.memory = memory or budget.Budget()
        self.services = services
        self.configuration = configuration
        self.spread = spreading
        self.limits = limits
        self.quarantine = quarantine
        self.codec = codec
        self.observer = observer.Observer(source, counts)
        self.in_progress: set[progress.Progress] = set()
        # Set when this instance is leaving: callers' connections are closed after use.
        self.is_leaving = False
        # Set when it refuses all new requests.
        self.is_closed = False
        # Refuses new requests while this instance is overloaded; None: never.
        self.protection: protection.Protection | None = None
        # Count of streams whose software version has no server left.
        self.lost_versions = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the handler."""
        return [web.route("*", "/{path:.*}", self.handle)]

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Respond to one request."""
        current = progress.Progress()
        self.in_progress.add(current)
        arrived = clock.now()
        observation = self.observer.begin(arrived)
        try:
            running = await self.admit(request, arrived, observation, current)
            response = await self.run(running, observation)
        except problem.ProblemError as error:
            observation.outcome = error.problem.outcome.value
            observation.reason = error.problem.reason
            if not observation.is_explained:
                log_rejection(error.problem, observation)
            response = self.codec.respond(error.problem)
            if not request.content.is_eof():
                # A connection with an unread request body can't be reused.
                response.force_close()
        except (asyncio.CancelledError, ConnectionResetError):
            observation.outcome = problem.CALLER_GONE
            raise
        finally:
            self.in_progress.discard(current)
            if observation.outcome == problem.CALLER_GONE:
                log_gone(observation, clock.now())
            self.observer.end(observation, clock.now())
        if self.is_leaving and not response.prepared:
            inbound.close_after(request, response)
        return response

    def end_requests(self) -> None:
        """End all requests in progress; those that haven't run are refused."""
        for current in tuple(self.in_progress):
            current.end()

    async def admit(
        self,
        request: web.Request,
        arrived: ids.Instant,
        observation: observer.Observation,
        current: progress.Progress,
    ) -> exchange.Exchange:
        """Return the exchange of a request, not yet run; raises ProblemError."""
        try:
            async with current.step(None):
                return await self.prepare(request, arrived, observation, current)
        except TimeoutError:
            reason = messages.RefusalReason.LEAVING
            raise refused(observation, reason, LEAVING_RETRY) from None

    async def prepare(
        self,
        request: web.Request,
        arrived: ids.Instant,
        observation: observer.Observation,
        current: progress.Progress,
    ) -> exchange.Exchange:
        """Read, check and charge a request; raises ProblemError."""
        observation.request_id = self.codec.request_id(request)
        head = self.read_head(request)
        if not request.content.is_eof():
            # One that isn't allowed is turned away before its body is read.
            self.accept(head, observation)
        received = await self.receive(request, head, observation)
        accepted = self.accept(received, observation)
        if self.quarantine.has_quarantined(accepted.digest, received.parts, arrived):
            remaining = self.quarantine.remaining(
                accepted.digest, received.parts, arrived
            )
            self.quarantine.record_refusal(
                received.request_id, accepted.digest, received.parts, arrived
            )
            reason = messages.RefusalReason.QUARANTINED
            raise refused(observation, reason, remaining)
        log.info(
            "accepted: route {}, service {}, account {}, tier {}, urgency {}, "
            "deadline in {:.3f} s, configuration revision {}, resumes {} after event "
            "{}, parts {}",
            accepted.route.name,
            accepted.service,
            accepted.account_name,
            accepted.tier_rank,
            accepted.route.rank,
            accepted.deadline - accepted.arrived,
            revisions.text(self.configuration.revision),
            received.resumes,
            received.last_event,
            " ".join(received.parts) or "none",
            extra={"request": received.request_id},
        )
        version = await self.find_version(accepted, observation)
        cell = self.find_cell(accepted, version, observation)
        self.refuse_early(accepted, cell, version, observation)
        charge = await self.charge(accepted, observation)
        return exchange.Exchange(
            self.services, accepted, cell, request, current, charge, version
        )

    async def run(
        self, running: exchange.Exchange, observation: observer.Observation
    ) -> web.StreamResponse:
        """Return the response of an exchange; raises ProblemError."""
        try:
            return await running.run()
        finally:
            observation.first_event_at = running.stream.first_event_at
            observation.is_explained = True
            observation.outcome = running.outcome
            observation.reason = running.reason
            observation.waited = running.waited
            observation.longest_pause = running.stream.longest_pause

    def accept(
        self, received: call.Call, observation: observer.Observation
    ) -> tickets.AcceptedRequest:
        """Return the request, whose caller and kind are noted; raises ProblemError."""
        current = self.configuration.current
        if self.is_closed:
            observation.identify(received, current)
            reason = messages.RefusalReason.LEAVING
            raise refused(observation, reason, LEAVING_RETRY)
        if self.protection is not None and self.protection.is_overloaded:
            observation.identify(received, current)
            reason = messages.RefusalReason.INSTANCE_OVERLOADED
            wait = self.protection.retry_after(received.request_id)
            raise refused(observation, reason, wait)
        try:
            accepted = acceptance.accept(received, current, observation.arrived)
        except problem.ProblemError:
            observation.identify(received, current)
            raise
        observation.note_accepted(accepted)
        return accepted

    def read_head(self, request: web.Request) -> call.Call:
        """Return the request without its body; raises ProblemError."""
        try:
            found = self.codec.read(request, b"")
            call.check_text(found)
            return found
        except call.UnreadableError as error:
            raise problem.rejected(
                HTTP_BAD_REQUEST, "The request can't be read", str(error)
            ) from error

    async def receive(
        self, request: web.Request, head: call.Call, observation: observer.Observation
    ) -> call.Call:
        """Return the request with its complete body; raises ProblemError."""
        current = self.configuration.current
        bounds = declared.Bounds() if current is None else current.catalog.bounds
        seconds = bounds.idle_seconds
        try:
            content = await body.read(request, inbound.longest_body(request), seconds)
            return msgspec.structs.replace(head, body=content)
        except web.HTTPRequestEntityTooLarge as error:
            raise problem.rejected(
                HTTP_TOO_LARGE, "The body is too long", "Send a shorter one."
            ) from error
        except web.RequestPayloadError as error:
            raise problem.rejected(
                HTTP_BAD_REQUEST,
                "The body can't be read",
                "Its length or coding isn't what the headers say.",
            ) from error
        except body.ScarceError as error:
            self.memory.refused += 1
            reason = messages.RefusalReason.INSTANCE_OVERLOADED
            wait = protection.retry_seconds(head.request_id)
            detail = "Other requests use the memory for bodies; use another instance."
            raise refused(observation, reason, wait, detail) from error
        except TimeoutError as error:
            raise problem.rejected(
                HTTP_TIMEOUT, "The body came too slowly", f"Send it in {seconds:g} s."
            ) from error

    def refuse_early(
        self,
        accepted: tickets.AcceptedRequest,
        cell: ids.CellId,
        version: ids.SoftwareVersion | None,
        observation: observer.Observation,
    ) -> None:
        """Refuse a request that its dispatcher would; raises ProblemError."""
        if self.early is None or version is not None:
            return
        now = clock.now()
        wait = self.early.refuse(tickets.arrival(accepted, cell, now), now)
        if wait is not None:
            # Its line is written where the refusal is decided.
            observation.is_explained = True
            raise problem.not_run(messages.RefusalReason.OVERLOAD, wait)

    async def charge(
        self, accepted: tickets.AcceptedRequest, observation: observer.Observation
    ) -> admission.Charge:
        """Charge the account; raises ProblemError beyond its limit."""
        cost = acceptance.cost(accepted)
        try:
            return await self.limits.admit(
                accepted.account_name, cost, accepted.call.request_id
            )
        except admission.OverLimitError as error:
            reason = messages.RefusalReason.ACCOUNT_LIMIT
            raise refused(observation, reason, error.retry_after) from error

    async def find_version(
        self, accepted: tickets.AcceptedRequest, observation: observer.Observation
    ) -> ids.SoftwareVersion | None:
        """Return the only version that may run a request; None: any.

        Raises ProblemError if it goes on with a stream of an unknown version.
        """
        if not accepted.resumes_stream:
            return None
        received = accepted.call
        found = await self.services.origins.find(accepted.service, received.resumes)
        if found.version is None:
            reason = messages.RefusalReason.VERSION_UNKNOWN
            raise refused(observation, reason, exchange.RETRY_AFTER)
        log.info(
            "stream {} goes on at version {}: {}",
            received.resumes,
            found.version,
            found.source.value,
            extra={"request": received.request_id},
        )
        return found.version

    def find_cell(
        self,
        accepted: tickets.AcceptedRequest,
        version: ids.SoftwareVersion | None,
        observation: observer.Observation,
    ) -> ids.CellId:
        """Return the cell whose dispatcher handles a request; raises ProblemError."""
        received = accepted.call
        pool = self.spread.copy.current.pool(accepted.service)
        if pool is None:
            reason = messages.RefusalReason.NO_BACKEND_SERVER
            raise refused(observation, reason, exchange.RETRY_AFTER)
        if version is None:
            return self.spread.choose(pool, received.request_id).cell_id
        cell = self.spread.choose_of_version(pool, received.request_id, version)
        if cell is None:
            self.lost_versions += 1
            reason = messages.RefusalReason.VERSION_GONE
            raise refused(observation, reason, exchange.RETRY_AFTER)
        return cell.cell_id


def refused(
    observation: observer.Observation,
    reason: messages.RefusalReason,
    retry_after: float,
    detail: str = "",
) -> problem.ProblemError:
    """Log a request that is refused on arrival, and return its problem."""
    observation.is_explained = True
    log.info(
        "refused on arrival: {}, retry after {:.3f} s, {}{}",
        reason.value,
        retry_after,
        observation.description,
        f": {detail}" if detail else "",
        extra={"request": observation.request_id, "final": True},
    )
    return problem.not_run(reason, retry_after, detail)


def log_rejection(found: problem.Problem, observation: observer.Observation) -> None:
    """Log why a request was turned away before it was accepted.

    Only refusals count as final lines: a flood of requests with unknown keys would
    otherwise crowd out the lines of others.
    """
    is_refusal = found.outcome is problem.Outcome.NOT_RUN
    log.info(
        "{}: status {}, {}, {}",
        found.outcome.value,
        found.status,
        found.reason or found.title,
        observation.description,
        extra={"request": observation.request_id, "final": is_refusal},
    )


def log_gone(observation: observer.Observation, now: ids.Instant) -> None:
    """Log a request whose caller disconnected before it had its answer."""
    log.info(
        "caller gone after {:.3f} s: {}, {}",
        now - observation.arrived,
        "no slot granted"
        if observation.waited is None
        else f"waited {observation.waited:.3f} s",
        observation.description,
        extra={"request": observation.request_id},
    )
