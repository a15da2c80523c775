"""Opens connections, with a time limit that leaves out pauses of this process."""

from __future__ import annotations

import typing

import aiohttp
from aiohttp import client_proto, tracing

from tealcove import stalls


class StallTolerantConnector(aiohttp.TCPConnector):
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
