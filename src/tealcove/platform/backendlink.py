"""Sends calls to backend servers over HTTP, each on its own connection."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import AsyncGenerator, Callable

import aiohttp
import multidict
import yarl
from aiohttp import client_proto

from tealcove.backends import attempt as attempts
from tealcove.backends import engine
from tealcove.ingress import link
from tealcove.platform import answers, callers, names

# Connect timeout in seconds: links between data centres take some milliseconds, and an
# unreachable server must be detected while the goal can still be met.
CONNECT_TIMEOUT = 0.25
# Seconds by which this client's timeout exceeds a call's. The caller of this client
# enforces the deadline, and would otherwise take this timeout for a server's failure.
TIMEOUT_MARGIN = 1.0
MILLISECONDS = 1000
HTTP_MISDIRECTED = 421
# Response headers of one connection, or that are set again for the caller.
DROPPED_HEADERS = callers.CONNECTION_HEADERS | {
    names.LOAD.lower(),
    names.INCARNATION.lower(),
    "date",
    "server",
}


class StrictResponseHandler(client_proto.ResponseHandler):
    """A response handler that doesn't take a connection reset for end of body.

    A response without a length ends when its connection is closed. aiohttp treats a
    reset the same way, so that a truncated response would reach the caller as
    complete.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """See asyncio.Protocol."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """Opens a connection with a strict response handler for each call.

    Connections aren't reused: a faulty server may send a late second response where
    the response to the next call is expected.
    """

    def __init__(self) -> None:
        super().__init__(force_close=True, limit=0)
        loop = asyncio.get_running_loop()
        self._factory = functools.partial(StrictResponseHandler, loop=loop)


class HttpBackendLink(link.BackendLink):
    """Sends calls to all backend servers in one HTTP session."""

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(attempts.notify_dispatched)
        self.session = aiohttp.ClientSession(
            connector=StrictConnector(),
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
        self, outbound: link.OutboundRequest, dispatched: Callable[[], None]
    ) -> AsyncGenerator[link.Head | bytes, None]:
        """See BackendLink."""
        attempt = attempts.Attempt(dispatched)
        server = outbound.server
        request = self.session.request(
            outbound.call.method,
            yarl.URL(f"{server.url}{outbound.call.target}", encoded=True),
            headers=headers_of(outbound),
            data=outbound.call.body or None,
            # Following a redirect would be a second dispatch.
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=outbound.remaining + TIMEOUT_MARGIN, sock_connect=CONNECT_TIMEOUT
            ),
            trace_request_ctx=attempt,
        )
        try:
            async with request as response:
                yield read_head(outbound, response)
                async for part in response.content.iter_any():
                    yield part
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            attempts.SecondWriteError,
        ) as error:
            raise attempts.translate_error(server, attempt, error) from error


def headers_of(outbound: link.OutboundRequest) -> multidict.CIMultiDict[str]:
    """Return a call's headers with those that this system sets."""
    headers = multidict.CIMultiDict(outbound.call.headers)
    headers[names.EXPECTED_INCARNATION] = outbound.server.name
    # Remaining milliseconds, not the caller's own value: past the deadline, the server
    # would keep working on a response that no one receives.
    left = max(1, int(outbound.remaining * MILLISECONDS))
    headers[names.DEADLINE_MS] = str(left)
    if outbound.account is not None:
        headers[names.ACCOUNT] = outbound.account
    if outbound.last_event is not None:
        headers[names.LAST_EVENT_ID] = str(outbound.last_event)
    return headers


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
    return link.Head(response.status, returned, answers.statement_of(response))
