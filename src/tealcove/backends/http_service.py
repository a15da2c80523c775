"""HTTP client for plain services."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable

import aiohttp
import multidict
import yarl

from tealcove import ids, stalls, telemetry
from tealcove.backends import attempt as attempts
from tealcove.backends import connector, engine, service

REQUEST_ID_HEADER = "X-Request-Id"
CONNECT_TIMEOUT = 2.0
CHUNK_BYTES = 64 * 1024
WITHOUT_BODY = (204, 304)


class HttpServiceClient(service.ServiceClient):
    """Calls all services in one session, each call on its own connection."""

    def __init__(self, own_stalls: stalls.Stalls | None = None) -> None:
        self.stalls = own_stalls or stalls.Stalls()
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(attempts.notify_dispatched)
        self.session = aiohttp.ClientSession(
            connector=connector.StallTolerantConnector(
                self.stalls, CONNECT_TIMEOUT, force_close=True, limit=0
            ),
            # A cookie jar would send one caller's cookies with another's call.
            cookie_jar=aiohttp.DummyCookieJar(),
            # The body is forwarded in the encoding that its header names.
            auto_decompress=False,
            skip_auto_headers=attempts.SKIPPED_AUTO_HEADERS,
            middlewares=(attempts.forbid_second_write,),
            trace_configs=[tracing],
        )

    async def stop(self) -> None:
        """Close the session."""
        await self.session.close()

    async def call(
        self,
        server: engine.Server,
        call: service.Call,
        remaining: float,
        dispatched: Callable[[], None],
    ) -> AsyncGenerator[service.Head | bytes, None]:
        """See ServiceClient."""
        attempt = attempts.Attempt(dispatched)
        timeout = aiohttp.ClientTimeout(total=remaining)
        request = self.session.request(
            call.method,
            yarl.URL(f"{server.url}{call.target}", encoded=True),
            headers=request_headers(call),
            data=call.body or None,
            # Following a redirect would be a second dispatch.
            allow_redirects=False,
            timeout=timeout,
            trace_request_ctx=attempt,
        )
        try:
            async with request as response:
                check_body_is_delimited(server, call.method, response)
                yield read_head(server, call.request_id, response)
                async for part in response.content.iter_chunked(CHUNK_BYTES):
                    yield part
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            attempts.SecondWriteError,
        ) as error:
            raise attempts.translate_error(server, attempt, error) from error


def request_headers(call: service.Call) -> multidict.CIMultiDict[str]:
    """Return the caller's headers with the request's id and trace context."""
    headers = multidict.CIMultiDict(call.headers)
    headers[REQUEST_ID_HEADER] = call.request_id
    telemetry.inject(headers)
    return headers


def check_body_is_delimited(
    server: engine.Server, method: str, response: aiohttp.ClientResponse
) -> None:
    """Raise BrokenStreamError for a body that is delimited by connection close.

    A server that crashes during the response closes its connection in the same way,
    and the truncated body would be taken for complete.
    """
    headers = response.headers
    is_delimited = "Content-Length" in headers or "Transfer-Encoding" in headers
    if is_delimited or method == "HEAD" or response.status in WITHOUT_BODY:
        return
    raise engine.BrokenStreamError(
        f"The response of {server.name} doesn't say where it ends",
        "Let the service send Content-Length or chunks.",
    )


def read_head(
    server: engine.Server,
    request_id: ids.RequestId,
    response: aiohttp.ClientResponse,
) -> service.Head:
    """Return the head of a response, unless it echoes another request's id.

    If a service doesn't echo the id, the check is skipped; its connection was used
    for this one call only.
    """
    echoed = response.headers.get(REQUEST_ID_HEADER, request_id)
    if echoed != request_id:
        raise engine.WrongAnswerError(
            f"{server.name} answered {request_id} with another request's answer",
            "Nothing of it was passed on; report it to the service's maker.",
        )
    # aiohttp's header names are of a str subclass that can't be stored.
    headers = tuple((str(name), value) for name, value in response.headers.items())
    return service.Head(response.status, headers)
