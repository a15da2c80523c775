"""Plain services over HTTP."""

from __future__ import annotations

import types
from collections.abc import AsyncGenerator, Callable

import aiohttp
import multidict
import yarl

from tealcove import errors, ids, telemetry
from tealcove.backends import engine, service

REQUEST_ID_HEADER = "X-Request-Id"
CONNECT_TIMEOUT = 2.0
PART_BYTES = 64 * 1024
WITHOUT_BODY = (204, 304)
# Headers that aiohttp would add to those of the caller.
NO_HEADERS_OF_OUR_OWN = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class SecondWriteError(errors.BackendError):
    """aiohttp was about to write a call for the second time."""


class Attempt:
    """One call's way to its server: whether a byte of it may have been written."""

    def __init__(self, dispatched: Callable[[], None]) -> None:
        self.dispatched = dispatched
        self.is_dispatched = False

    def dispatch(self) -> None:
        """Note that the first byte is about to be written."""
        self.is_dispatched = True
        self.dispatched()


class HttpServiceClient(service.ServiceClient):
    """One session to all services; each call has a connection of its own."""

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(tell_dispatched)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            # A jar would send the cookie that one caller was given with the next
            # caller's call.
            cookie_jar=aiohttp.DummyCookieJar(),
            # The body is passed on with the coding that its header names.
            auto_decompress=False,
            skip_auto_headers=NO_HEADERS_OF_OUR_OWN,
            middlewares=(forbid_second_write,),
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
        attempt = Attempt(dispatched)
        timeout = aiohttp.ClientTimeout(total=remaining, sock_connect=CONNECT_TIMEOUT)
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
                check_end_is_told(server, call.method, response)
                yield read_head(server, call.request_id, response)
                async for part in response.content.iter_chunked(PART_BYTES):
                    yield part
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            SecondWriteError,
        ) as error:
            raise describe(server, attempt, error) from error


def describe(
    server: engine.Server, attempt: Attempt, error: Exception
) -> errors.BackendError:
    """Return what the failure of a call means.

    Whether it was dispatched is read from the attempt and not from the kind of
    error: a time-out, for one, comes before as well as after the connection.
    """
    if not attempt.is_dispatched:
        return engine.NotDispatchedError(
            f"{server.name} can't be reached: {error!r}",
            "Nothing was sent to it; see whether the process runs.",
        )
    return engine.BrokenStreamError(
        f"The response of {server.name} broke off: {error!r}",
        "Ask the service what became of the call.",
    )


async def tell_dispatched(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    """Tell that the call's first byte is about to be written."""
    attempt: Attempt = context.trace_request_ctx
    attempt.dispatch()


async def forbid_second_write(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turn a broken connection into an error that aiohttp doesn't retry.

    aiohttp writes a GET, PUT or DELETE a second time when the server closes the
    connection without an answer, and `force_close` doesn't keep it from that. The
    service would then count two calls of one id, and the caller would never know.
    The retry looks for these two kinds of error, so they leave under another.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise SecondWriteError(
            f"The connection broke: {error!r}", "Don't write the call again."
        ) from error


def request_headers(call: service.Call) -> multidict.CIMultiDict[str]:
    """Return the caller's headers with the id and the trace of the request."""
    headers = multidict.CIMultiDict(call.headers)
    headers[REQUEST_ID_HEADER] = call.request_id
    telemetry.inject(headers)
    return headers


def check_end_is_told(
    server: engine.Server, method: str, response: aiohttp.ClientResponse
) -> None:
    """Refuse a body that ends where the connection does.

    A server that dies in the middle closes its connection in the same way, and
    the fragment would pass for the whole; raises BrokenStreamError.
    """
    headers = response.headers
    is_told = "Content-Length" in headers or "Transfer-Encoding" in headers
    if is_told or method == "HEAD" or response.status in WITHOUT_BODY:
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
    """Return the head of a response, unless it names another request.

    A service that doesn't echo the id can't be checked; its connection was used
    for this one call only.
    """
    echoed = response.headers.get(REQUEST_ID_HEADER, request_id)
    if echoed != request_id:
        raise engine.WrongAnswerError(
            f"{server.name} answered {request_id} with another request's answer",
            "Nothing of it was passed on; report it to the service's maker.",
        )
    # aiohttp's names are of a type of its own, which can't be stored.
    headers = tuple((str(name), value) for name, value in response.headers.items())
    return service.Head(response.status, headers)
