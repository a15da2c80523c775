"""HTTP client for model engines."""

from __future__ import annotations

import functools
import types
from collections.abc import AsyncIterator, Callable
from typing import TypeVar

import aiohttp
import msgspec

from tealcove import decoding, errors, ids, stalls, telemetry
from tealcove.backends import bodies, connector, engine, events, http_orders, wire

REQUEST_ID_HEADER = "X-Request-Id"
CONNECT_TIMEOUT = 2.0
# An engine that sends nothing for this many seconds during generation has failed.
SILENCE_TIMEOUT = 30.0
CONTROL_TIMEOUT = 2.0
# Bytes of a request's cached state, and of a refusal's text in an error.
MAX_CACHE_BYTES = 64 * 2**20
MAX_TEXT_BYTES = 200
# Errors that mean that no connection was established; a connect timeout is not a
# ClientConnectorError, and must not be taken for a broken stream.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
# Idle seconds after which a polling connection is closed.
KEEPALIVE_SECONDS = 15.0
DONE_MARKER = b"[DONE]"

T = TypeVar("T")


class HttpEngineClient(engine.EngineClient):
    """Calls engines in two sessions: requests without, polls with keep-alive."""

    def __init__(self, own_stalls: stalls.Stalls | None = None) -> None:
        self.stalls = own_stalls or stalls.Stalls()
        self.session: aiohttp.ClientSession | None = None
        self.polling: aiohttp.ClientSession | None = None
        self.event_decoder = decoding.Decoder(msgspec.json.Decoder(wire.Event))

    async def start(self) -> None:
        """Open the sessions."""
        # Connections for requests are never reused. After a cancelled or unread
        # response, reuse could give one caller another's response, and when the
        # server closes a reused connection, it's unclear whether the request was
        # dispatched.
        found = connector.StallTolerantConnector(
            self.stalls, CONNECT_TIMEOUT, force_close=True, limit=0
        )
        timeout = aiohttp.ClientTimeout(total=None, sock_read=SILENCE_TIMEOUT)
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(notify_dispatched)
        self.session = aiohttp.ClientSession(
            connector=found,
            timeout=timeout,
            read_bufsize=events.MAX_LINE_BYTES,
            trace_configs=[tracing],
        )
        # Load, health and cache events are polled several times a second. The polls
        # are small, safe to repeat and belong to no caller, so their connections are
        # kept alive: a new one for each took three quarters of a poll's CPU time.
        self.polling = aiohttp.ClientSession(
            connector=connector.BoundedConnector(
                limit=0, keepalive_timeout=KEEPALIVE_SECONDS
            ),
            # `control` limits the time of each poll.
            timeout=aiohttp.ClientTimeout(total=None),
        )

    async def stop(self) -> None:
        """Close the sessions."""
        await self.session.close()
        await self.polling.close()

    def generate(
        self,
        server: engine.Server,
        call: engine.Completion,
        dispatched: Callable[[], None],
    ) -> AsyncIterator[engine.Chunk]:
        """See EngineClient."""
        body = wire.CompletionBody(
            model=call.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            adapter=call.adapter,
        )
        start = functools.partial(
            self.session.post,
            f"{server.url}/v1/completions",
            data=msgspec.json.encode(body),
            headers=request_headers(call.request_id),
            trace_request_ctx=dispatched,
        )
        return self.read(server, call.request_id, start)

    def resume(
        self, server: engine.Server, request_id: ids.RequestId, offset: int
    ) -> AsyncIterator[engine.Chunk]:
        """See EngineClient."""
        start = functools.partial(
            self.session.get,
            f"{server.url}/v1/completions/{request_id}",
            params={"offset": str(offset)},
            headers=request_headers(request_id),
        )
        return self.read(server, request_id, start)

    async def read(
        self,
        server: engine.Server,
        request_id: ids.RequestId,
        start: Callable[[], aiohttp.client._RequestContextManager],
    ) -> AsyncIterator[engine.Chunk]:
        """Yield the chunks of one HTTP response, and translate its errors.

        Ends with the closing event; each event contains its request's id.
        """
        found = events.Events()
        try:
            async with start() as response:
                await self.check_head(server, request_id, response)
                # All received bytes are processed at once: awaiting each line
                # separately took as long as all other processing of an event.
                async for part in response.content.iter_any():
                    for data in found.feed(part):
                        if data == DONE_MARKER:
                            return
                        yield self.decode(server, request_id, data)
        except CONNECT_ERRORS as error:
            raise engine.NotDispatchedError(
                f"{server.name} can't be reached: {error}",
                "Nothing was sent to it; see whether the process runs.",
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise engine.BrokenStreamError(
                f"The answer of {server.name} broke off: {error!r}",
                "Resume it from the next token on.",
            ) from error
        if DONE_MARKER not in found.feed(b"\n"):
            raise engine.BrokenStreamError(
                f"The answer of {server.name} ended without its closing event",
                "Resume it from the next token on.",
            )

    async def check_head(
        self,
        server: engine.Server,
        request_id: ids.RequestId,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Check status and echoed id before the body is used."""
        if response.status != 200:
            content = await response.content.read(MAX_TEXT_BYTES)
            text = content.decode(errors="replace")
            raise engine.RefusedCallError(
                f"{server.name} answered {response.status}: {text}",
                "See whether the pool's engines have the model.",
            )
        if response.headers.get(REQUEST_ID_HEADER) != request_id:
            raise wrong_answer(server, request_id)

    def decode(
        self, server: engine.Server, request_id: ids.RequestId, data: bytes
    ) -> engine.Chunk:
        """Return the chunk of an event."""
        try:
            event = self.event_decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise engine.BrokenStreamError(
                f"{server.name} sent an event that can't be read: {error}",
                "Resume the answer from the next token on.",
            ) from error
        if event.id != request_id:
            raise wrong_answer(server, request_id)
        return engine.Chunk(
            event.index, event.text, event.count, event.finish, event.usage
        )

    async def cancel(self, server: engine.Server, request_id: ids.RequestId) -> None:
        """See EngineClient."""
        await self.control("DELETE", server, f"/v1/completions/{request_id}")

    async def load(self, server: engine.Server) -> engine.LoadReport:
        """See EngineClient."""
        body = await self.control("GET", server, "/load")
        return decode_control(server, body, engine.LoadReport)

    async def state(self, server: engine.Server) -> str:
        """See EngineClient."""
        body = await self.control("GET", server, "/health")
        return decode_control(server, body, wire.Health).state

    async def cache_events(
        self, server: engine.Server, after: int
    ) -> engine.CacheEvents:
        """See EngineClient."""
        body = await self.control("GET", server, f"/cache-events?after={after}")
        return decode_control(server, body, engine.CacheEvents)

    async def holding(self, server: engine.Server) -> engine.Holding:
        """See EngineClient."""
        body = await self.control("GET", server, "/state")
        return decode_control(server, body, engine.Holding)

    async def order(
        self,
        server: engine.Server,
        order: engine.Order,
        may_send: Callable[[], bool],
        timeout: float,
    ) -> None:
        """See EngineClient."""
        await http_orders.send(self.session, server, order, may_send, timeout)

    async def export_cache(
        self, server: engine.Server, request_id: ids.RequestId
    ) -> bytes:
        """See EngineClient."""
        path = f"/kv/{request_id}"
        return await self.control("GET", server, path, most=MAX_CACHE_BYTES)

    async def import_cache(
        self, server: engine.Server, request_id: ids.RequestId, content: bytes
    ) -> None:
        """See EngineClient."""
        await self.control("PUT", server, f"/kv/{request_id}", content)

    async def control(
        self,
        method: str,
        server: engine.Server,
        path: str,
        content: bytes | None = None,
        most: int = bodies.MAX_BYTES,
    ) -> bytes:
        """Make a short call that is safe to repeat; `most` limits the answer."""
        session = self.polling if method == "GET" else self.session
        try:
            async with (
                self.stalls.timeout(CONTROL_TIMEOUT),
                session.request(
                    method, f"{server.url}{path}", data=content
                ) as response,
            ):
                response.raise_for_status()
                return await bodies.read(response, most)
        except aiohttp.ClientResponseError as error:
            raise engine.RefusedCallError(
                f"{method} {path} of {server.name} was answered {error.status}",
                "Compare the engine with docs/BACKENDS.md.",
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.BackendError(
                f"{method} {path} of {server.name} failed: {error!r}",
                "See whether the process runs and can be reached.",
            ) from error


async def notify_dispatched(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    """Call the request's `dispatched`: its first byte is about to be written."""
    dispatched: Callable[[], None] | None = context.trace_request_ctx
    if dispatched is not None:
        dispatched()


def request_headers(request_id: ids.RequestId) -> dict[str, str]:
    """Return the headers of every call about a request."""
    headers = {REQUEST_ID_HEADER: request_id, "Content-Type": "application/json"}
    telemetry.inject(headers)
    return headers


def wrong_answer(
    server: engine.Server, request_id: ids.RequestId
) -> engine.WrongAnswerError:
    """Return the error for a response that contains another request's id."""
    return engine.WrongAnswerError(
        f"{server.name} answered {request_id} with another request's answer",
        "Nothing of it was passed on; report it to the engine's maker.",
    )


def decode_control(server: engine.Server, body: bytes, expected: type[T]) -> T:
    """Decode the body of a short call; raises BackendError."""
    try:
        return decoding.decode_json(body, expected)
    except msgspec.MsgspecError as error:
        raise errors.BackendError(
            f"{server.name} sent a body that can't be read: {error}",
            "Compare the engine's version with docs/BACKENDS.md.",
        ) from error
