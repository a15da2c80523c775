"""Sends the requests of instances that have no path to a server themselves."""

from __future__ import annotations

import asyncio

import logbook
import multidict
from aiohttp import web

from tealcove import clock, errors, ids, inbound
from tealcove.backends import engine
from tealcove.callermemory import body
from tealcove.dispatch import cells, messages, pathevidence, requester, statements
from tealcove.entry import fields
from tealcove.ingress import responses
from tealcove.relay import raw, wire

log = logbook.Logger("relay")

# Requests of other instances at a time; beyond that they have to use another helper, so
# that this instance's own callers keep most of its processor.
MAX_IN_PROGRESS = 64
HTTP_UNAVAILABLE = 503
HTTP_BAD_REQUEST = 400
# Seconds in which the body of a request arrives from another instance.
BODY_SECONDS = 15.0
# Headers that concern one connection, or that are set again for the server.
DROPPED_HEADERS = fields.HOP_BY_HOP | {fields.CONTENT_LENGTH, "expect"} | wire.HEADERS


class RelayServer:
    """Sends each request to the server that its order names, and returns the answer.

    A request is never passed on to a third instance. The instance that accepted it
    holds the slot, decides on retries and checks the answer.
    """

    def __init__(
        self,
        backends: raw.RawLink,
        own: ids.InstanceId,
        tickets: requester.Requester,
        evidence: pathevidence.PathEvidence,
    ) -> None:
        self.backends = backends
        self.own = own
        self.tickets = tickets
        self.paths = evidence
        self.in_progress: set[asyncio.Task[None]] = set()
        # Count of requests that reached their servers.
        self.helped = 0
        # Set when this instance leaves and takes no more requests of others.
        self.is_closed = False

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the handler."""
        return [web.route("*", "/{path:.*}", self.handle)]

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request of another instance."""
        arrived = clock.now()
        try:
            order = wire.decode(request.headers)
        except errors.PeerError as error:
            log.warning("{}", error)
            return own_answer(wire.Result.DECLINED, HTTP_BAD_REQUEST)
        reason = self.reason_to_decline(order, arrived)
        if reason is not None:
            return own_answer(reason)
        server = engine.Server(order.grant.server, order.grant.host, order.grant.port)
        if order.is_check:
            is_refused = await self.backends.is_refused(server)
            result = wire.Result.UNREACHABLE if is_refused else wire.Result.REACHED
            return own_answer(result)
        task = asyncio.current_task()
        self.in_progress.add(task)
        try:
            return await self.pass_on(request, order, server, arrived)
        except (body.ScarceError, TimeoutError) as error:
            log.warning("body not read for another instance: {!r}", error)
            return own_answer(wire.Result.DECLINED)
        finally:
            self.in_progress.discard(task)

    def reason_to_decline(
        self, order: wire.Order, now: ids.Instant
    ) -> wire.Result | None:
        """Return why this instance can't send a request to its server, if it can't."""
        if self.is_closed or len(self.in_progress) >= MAX_IN_PROGRESS:
            return wire.Result.DECLINED
        if self.tickets.usable_in(order.grant, now) > 0.0:
            return wire.Result.DECLINED
        if self.paths.is_doubtful(self.own, now) or self.paths.is_cut_off(
            self.own, now
        ):
            return wire.Result.DECLINED
        if self.paths.is_lost(self.own, order.grant.server, now):
            return wire.Result.UNREACHABLE
        return None

    async def pass_on(
        self,
        request: web.Request,
        order: wire.Order,
        server: engine.Server,
        arrived: ids.Instant,
    ) -> web.StreamResponse:
        """Send a request to its server and return the answer as it arrives."""
        call = raw.RawCall(
            request.method,
            request.raw_path,
            kept_headers(request.headers),
            await body.read(request, inbound.longest_body(request), BODY_SECONDS),
        )

        def connected() -> None:
            now = clock.now()
            self.paths.record_reached(self.own, server.name, now, now)

        remaining = order.remaining - (clock.now() - arrived)
        response = None
        try:
            async with self.backends.open(server, call, remaining, connected) as found:
                self.helped += 1
                self.record_statement(order.grant, found.statement, clock.now())
                response = web.StreamResponse(
                    status=found.status, headers=kept_headers(found.headers)
                )
                copy_length(found, response)
                await response.prepare(request)
                async for part in found.parts:
                    await response.write(part)
        except engine.NotDispatchedError as error:
            log.info("{} not reached for another instance: {}", server.name, error)
            self.paths.record_lost((self.own,), server.name, clock.now())
            return own_answer(wire.Result.UNREACHABLE)
        except errors.BackendError as error:
            log.info("{} failed for another instance: {}", server.name, error)
            responses.abort_connection(request)
            return response or web.Response()
        await response.write_eof()
        return response

    def record_statement(
        self, grant: messages.Grant, said: statements.Statement, now: ids.Instant
    ) -> None:
        """Record what the server states to this instance, whose connection it sees."""
        self.tickets.stated.record(cells.pool_of(grant.cell), grant, said, now)


def own_answer(result: wire.Result, status: int = HTTP_UNAVAILABLE) -> web.Response:
    """Return an answer of this instance in place of the server's."""
    return web.Response(status=status, headers={wire.RESULT: result.value})


def kept_headers(
    headers: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Return the headers that are passed on."""
    pairs = tuple((str(name), value) for name, value in headers.items())
    return multidict.CIMultiDict(fields.end_to_end(pairs, DROPPED_HEADERS))


def copy_length(found: raw.RawAnswer, response: web.StreamResponse) -> None:
    """Announce the length of an answer's body, if the server did."""
    length = found.headers.get(fields.CONTENT_LENGTH)
    if length is not None and length.isdecimal():
        response.content_length = int(length)
