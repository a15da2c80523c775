"""Opens connections that check and bound what a server sends, and how long it takes."""

from __future__ import annotations

import asyncio
import functools
import typing

import aiohttp
from aiohttp import client_proto, http, streams, tracing

from tealcove import stalls
from tealcove.backends import heads

# Bytes that are read from a connection at once. A server's bytes are parsed before
# anything else has its turn, and thousands of short heads or chunks may be in them.
READ_BYTES = 32 * 2**10
# The same while an answer has more framing than body, as chunks of a byte each do.
# Parsing these takes many times as long.
SHORT_READ_BYTES = 4 * 2**10
# Bytes that may arrive in a row without a byte of a body among them: interim and final
# heads, heads of chunks, and trailers, any of which may never end.
MAX_OVERHEAD_BYTES = 64 * 2**10


class BoundedResponseHandler(client_proto.ResponseHandler):
    """A response handler that breaks a connection with a malformed or endless head."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        # Bytes since the last one of a body.
        self.overhead = 0
        # Bytes of the current answer.
        self.received = 0
        self.heads = heads.Heads()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        super().connection_made(transport)
        # What asyncio's transports read at once.
        transport.max_size = READ_BYTES

    def set_response_params(self, **options: typing.Any) -> None:
        """See ResponseHandler; begins the answer to the next request."""
        self.received = 0
        self.heads = heads.Heads()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        before = self.body_bytes()
        self.heads.feed(data)
        super().data_received(data)
        self.received += len(data)
        body = self.body_bytes()
        if self.transport is not None:
            is_short = self.received - body > body
            self.transport.max_size = SHORT_READ_BYTES if is_short else READ_BYTES
        if body != before:
            self.overhead = 0
            return
        self.overhead += len(data)
        if self.overhead > MAX_OVERHEAD_BYTES:
            error = f"{self.overhead} bytes without a body"
            self.break_off(aiohttp.ClientPayloadError(error))

    def feed_data(
        self,
        data: tuple[http.RawResponseMessage, streams.StreamReader],
        *size: int,
    ) -> None:
        """See DataQueue; a head that was parsed is queued for its reader."""
        if self.exception() is not None:
            # The reader would get a queued head before the error.
            return
        message, _ = data
        try:
            self.heads.check(message.code, message.headers)
        except heads.HeadError as error:
            self.break_off(error)
            return
        super().feed_data(data, *size)

    def body_bytes(self) -> int:
        """Return the bytes of the current body that have arrived."""
        return 0 if self._payload is None else self._payload.total_bytes

    def break_off(self, error: aiohttp.ClientError) -> None:
        """Fail the response, and close the connection at once."""
        self.set_exception(error)
        if self._payload is not None:
            self._payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections with bounded response handlers."""

    response_handler: type[BoundedResponseHandler] = BoundedResponseHandler

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(self.response_handler, loop=self._loop)


class StallTolerantConnector(BoundedConnector):
    """Opens connections within a time in which this process ran.

    The time limits of aiohttp go on while the process stands still. A connection that
    the kernel has made meanwhile would count as lost.
    """

    def __init__(
        self,
        own_stalls: stalls.Stalls,
        connect_seconds: float,
        **options: typing.Any,
    ) -> None:
        super().__init__(**options)
        self.stalls = own_stalls
        self.connect_seconds = connect_seconds

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> client_proto.ResponseHandler:
        """See BaseConnector; raises ConnectionTimeoutError."""
        try:
            async with self.stalls.timeout(self.connect_seconds):
                return await super()._create_connection(req, traces, timeout)
        except TimeoutError as error:
            raise aiohttp.ConnectionTimeoutError(
                f"no connection to {req.url.host}:{req.url.port} "
                f"within {self.connect_seconds:g} s"
            ) from error
