"""Connections that are used once, and whose truncated responses are recognized."""

from __future__ import annotations

import asyncio
import functools
import typing

import aiohttp
from aiohttp import client_proto, tracing

from tealcove import keepalive, stalls


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


class PatientConnector(aiohttp.TCPConnector):
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


class StrictConnector(PatientConnector):
    """Opens a connection with a strict response handler for each call.

    Connections aren't reused: a faulty server may send a late second response where
    the response to the next call is expected. One that is silent for `silence_seconds`
    is broken.
    """

    def __init__(
        self, silence_seconds: int, own_stalls: stalls.Stalls, connect_seconds: float
    ) -> None:
        super().__init__(
            own_stalls,
            connect_seconds,
            force_close=True,
            limit=0,
            socket_factory=keepalive.socket_factory(silence_seconds),
        )
        loop = asyncio.get_running_loop()
        self._factory = functools.partial(StrictResponseHandler, loop=loop)
