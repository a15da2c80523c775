"""Connections that are used once, and whose truncated responses are recognized."""

from __future__ import annotations

import aiohttp

from tealcove import keepalive, stalls
from tealcove.backends import connector


class StrictResponseHandler(connector.BoundedResponseHandler):
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


class StrictConnector(connector.StallTolerantConnector):
    """Opens a connection with a strict response handler for each call.

    Connections aren't reused: a faulty server may send a late second response where
    the response to the next call is expected. One that is silent for `silence_seconds`
    is broken.
    """

    response_handler = StrictResponseHandler

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
