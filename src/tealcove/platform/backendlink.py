"""Sends calls to backend servers over HTTP, each on its own connection."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Callable

import aiohttp
import multidict
import yarl

from tealcove import clock, errors, stalls
from tealcove.backends import attempt as attempts
from tealcove.backends import engine, reach, strict
from tealcove.ingress import link
from tealcove.platform import answers, callers, names
from tealcove.relay import helpers, raw, wire
from tealcove.relay import link as relaying

# Connect timeout in seconds: links between data centres take some milliseconds, and an
# unreachable server must be detected while the goal can still be met.
CONNECT_TIMEOUT = 0.25
# Seconds by which this client's timeout exceeds a call's. The caller of this client
# enforces the deadline, and would otherwise take this timeout for a server's failure.
TIMEOUT_MARGIN = 1.0
# Seconds after which a silent connection is broken. A sound server may be silent for a
# second and go on.
SILENCE_SECONDS = 3
MILLISECONDS = 1000
HTTP_MISDIRECTED = 421
# Response headers of one connection, or that are set again for the caller.
DROPPED_HEADERS = callers.CONNECTION_HEADERS | {
    names.LOAD.lower(),
    names.INCARNATION.lower(),
    "date",
    "server",
}


class HttpBackendLink(relaying.Backends):
    """Sends calls to all backend servers and helpers in one HTTP session."""

    def __init__(self, own_stalls: stalls.Stalls) -> None:
        self.stalls = own_stalls
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(attempts.notify_dispatched)
        self.session = aiohttp.ClientSession(
            connector=strict.StrictConnector(
                SILENCE_SECONDS, self.stalls, CONNECT_TIMEOUT
            ),
            # A cookie jar would send one caller's cookies with another's call.
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=attempts.SKIPPED_AUTO_HEADERS,
            middlewares=(attempts.forbid_second_write,),
            trace_configs=[tracing],
        )

    async def stop(self) -> None:
        """Close the session."""
        await self.session.close()

    async def send(
        self,
        outbound: link.OutboundRequest,
        helper: helpers.Helper | None,
        dispatched: Callable[[], None],
    ) -> AsyncGenerator[link.Head | bytes, None]:
        """See Backends."""
        server = outbound.server
        url = server.url
        call = raw_call(outbound)
        remaining = outbound.remaining(clock.now())
        if helper is not None:
            url = helper.url
            order = wire.Order(outbound.grant, remaining)
            call.headers[wire.ORDER] = wire.encode(order)
        async with self.request(server, url, call, remaining, dispatched) as response:
            relaying.check_result(helper, response.headers)
            yield read_head(outbound, response)
            async for part in response.content.iter_any():
                yield part

    async def check(self, helper: helpers.Helper, order: wire.Order) -> wire.Result:
        """See Backends."""
        headers = multidict.CIMultiDict({wire.ORDER: wire.encode(order)})
        call = raw.RawCall("GET", "/", headers, b"")
        server = engine.Server(order.grant.server, order.grant.host, order.grant.port)
        async with self.request(
            server, helper.url, call, order.remaining, ignore
        ) as response:
            return wire.result_of(response.headers) or wire.Result.DECLINED

    @contextlib.asynccontextmanager
    async def open(
        self,
        server: engine.Server,
        call: raw.RawCall,
        remaining: float,
        dispatched: Callable[[], None],
    ) -> AsyncIterator[raw.RawAnswer]:
        """See RawLink."""
        async with self.request(
            server, server.url, call, remaining, dispatched
        ) as response:
            yield raw.RawAnswer(
                response.status,
                response.headers,
                answers.statement_of(response),
                response.content.iter_any(),
            )

    @contextlib.asynccontextmanager
    async def request(
        self,
        server: engine.Server,
        url: str,
        call: raw.RawCall,
        remaining: float,
        dispatched: Callable[[], None],
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call for a server once; errors are translated to BackendError."""
        attempt = attempts.Attempt(dispatched)
        # Remaining milliseconds, not the caller's own value: past the deadline, the
        # server would keep working on a response that no one receives.
        left = max(1, int(remaining * MILLISECONDS))
        call.headers[names.DEADLINE_MS] = str(left)
        request = self.session.request(
            call.method,
            yarl.URL(f"{url}{call.target}", encoded=True),
            headers=call.headers,
            data=call.body or None,
            # Following a redirect would be a second dispatch.
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=remaining + TIMEOUT_MARGIN),
            trace_request_ctx=attempt,
        )
        try:
            async with request as response:
                yield response
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            attempts.SecondWriteError,
        ) as error:
            raise attempts.translate_error(server, attempt, error) from error

    async def is_refused(self, server: engine.Server) -> bool:
        """See RawLink."""
        return await reach.refuses_connections(server, self.stalls)

    async def is_replaced(self, server: engine.Server) -> bool:
        """See RawLink; without a request id, no server runs the call."""
        headers = multidict.CIMultiDict({names.EXPECTED_INCARNATION: server.name})
        call = raw.RawCall("GET", "/", headers, b"")
        try:
            async with self.open(server, call, CONNECT_TIMEOUT, ignore) as found:
                return found.status == HTTP_MISDIRECTED
        except errors.BackendError:
            return False


def ignore() -> None:
    """Do nothing when a check is sent, which isn't a dispatch."""


def raw_call(outbound: link.OutboundRequest) -> raw.RawCall:
    """Return a call with the headers that this system sets."""
    call = outbound.call
    own = {
        names.EXPECTED_INCARNATION: outbound.server.name,
        names.ACCOUNT: outbound.account,
        names.LAST_EVENT_ID: outbound.last_event,
        names.KV_BACKUP: outbound.copy_to,
        names.KV_FROM: outbound.copy_from,
    }
    headers = multidict.CIMultiDict(call.headers)
    headers.update((name, str(own[name])) for name in own if own[name] is not None)
    return raw.RawCall(call.method, call.target, headers, call.body)


def read_head(
    outbound: link.OutboundRequest, response: aiohttp.ClientResponse
) -> link.Head:
    """Return the head of a response after checking that it is to this request.

    Raises NotRunError if the server hasn't run the request, and WrongAnswerError
    if the response may belong to another one.
    """
    server = outbound.server
    headers = response.headers
    if response.status == HTTP_MISDIRECTED and names.SIGNATURE not in headers:
        # Another server has this address now, and rejects requests for its predecessor.
        raise link.NotRunError(server.name, response.status)
    if names.NOT_RUN in headers:
        raise link.NotRunError(
            server.name, response.status, answers.statement_of(response)
        )
    echoed = headers.get(names.REQUEST_ID)
    is_signed = names.SIGNATURE in headers
    if echoed != outbound.call.request_id or not is_signed:
        raise engine.WrongAnswerError(
            f"{server.name} sent a response that isn't this request's: "
            f"id {echoed!r}, {'signed' if is_signed else 'not signed'}",
            "No part of it was forwarded; report it to the server's vendor.",
        )
    returned = tuple(
        (str(name), value)
        for name, value in headers.items()
        if name.lower() not in DROPPED_HEADERS
    )
    statement = answers.statement_of(response)
    return link.Head(response.status, returned, statement, response.content_length)
