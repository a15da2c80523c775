"""Sends calls to backend servers over HTTP, each on a connection of its own."""

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
from tealcove.platform import callers, names

# Seconds for a connection: links between data centres take some milliseconds, and
# a server that is gone without a reset must be noticed while the goal is in reach.
CONNECT_TIMEOUT = 0.25
# Seconds beyond the time of a call before this client ends it. Whoever called ends it
# in time, and would otherwise take this client's end for the server's.
TIMEOUT_MARGIN = 1.0
MILLISECONDS = 1000
HTTP_MISDIRECTED = 421
# Headers of an answer that concern one connection, or that are written anew.
DROPPED_HEADERS = callers.CONNECTION_HEADERS | {
    names.LOAD.lower(),
    names.INCARNATION.lower(),
    "date",
    "server",
}


class StrictResponseHandler(client_proto.ResponseHandler):
    """A connection that takes no reset for the end of an answer.

    An answer without a length ends when its connection is closed. aiohttp takes
    a reset for that as well, so that a part of an answer would reach the caller
    as the whole.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """See asyncio.Protocol."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """Makes a watched connection for each call, and uses none again.

    A faulty server may send a second answer, late, where the next one is expected.
    """

    def __init__(self) -> None:
        super().__init__(force_close=True, limit=0)
        loop = asyncio.get_running_loop()
        self._factory = functools.partial(StrictResponseHandler, loop=loop)


class HttpBackendLink(link.BackendLink):
    """One session to all backend servers."""

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(attempts.notify_dispatched)
        self.session = aiohttp.ClientSession(
            connector=StrictConnector(),
            # A jar would send one caller's cookie with the next caller's call.
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
    """Return the headers of a call with those that the system sets."""
    headers = multidict.CIMultiDict(outbound.call.headers)
    headers[names.EXPECTED_INCARNATION] = outbound.server.name
    # Milliseconds that are left, and not the caller's own number: the server works
    # on until then, for nobody if it's too long.
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
    """Return the head of an answer to this very request.

    Raises NotRunError if the server says that it hasn't run the request, and
    WrongAnswerError for anything that may belong to another one.
    """
    server = outbound.server
    headers = response.headers
    if names.NOT_RUN in headers:
        raise link.NotRunError(server.name, response.status)
    if response.status == HTTP_MISDIRECTED and names.SIGNATURE not in headers:
        # Another server has the address now; it runs only what names it.
        raise link.NotRunError(server.name, response.status)
    echoed = headers.get(names.REQUEST_ID)
    is_signed = names.SIGNATURE in headers
    if echoed != outbound.call.request_id or not is_signed:
        raise engine.WrongAnswerError(
            f"{server.name} gave an answer that isn't this request's: "
            f"id {echoed!r}, {'signed' if is_signed else 'not signed'}",
            "Nothing of it was passed on; report it to the server's maker.",
        )
    returned = tuple(
        (str(name), value)
        for name, value in headers.items()
        if name.lower() not in DROPPED_HEADERS
    )
    return link.Head(response.status, returned)
