"""Answers that are held whole until their callers have read them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from tealcove import clock
from tealcove.callermemory import holding

# Seconds between two attempts to hold an answer while memory is scarce.
WAIT_SECONDS = 0.1
# Bytes that are handed to the transport at a time, which copies what it can't send.
SLICE_BYTES = 64 * 1024


async def wait_to_keep(
    held: holding.Holding,
    size: int,
    before: int = 0,
    begin_wait: Callable[[], None] | None = None,
) -> None:
    """Wait until so many bytes of an answer may be kept, and count them.

    `before` are the bytes of the same answer that are kept already. Calls `begin_wait`
    if these may not be kept at once. Meanwhile the server's connection isn't read: the
    request has run and can't be refused any more. A short answer never waits; there are
    no more of them than slots of servers.
    """
    if before + size <= SLICE_BYTES:
        held.add(size)
        return
    if held.keep(size, clock.now()):
        return
    if begin_wait is not None:
        begin_wait()
    while True:
        await asyncio.sleep(WAIT_SECONDS)
        if held.keep(size, clock.now()):
            return


class SlicedResponse(web.Response):
    """A response with a buffered body that isn't copied as a whole when it is sent."""

    has_content = True

    async def prepare(self, request: web.BaseRequest) -> web.StreamResponse | None:
        """See web.StreamResponse."""
        self.has_content = request.method != "HEAD"
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """See web.StreamResponse."""
        body = self.body
        if not self.has_content or not body or len(body) <= SLICE_BYTES:
            await super().write_eof(data)
            return
        rest = len(body) - SLICE_BYTES
        for start in range(0, rest, SLICE_BYTES):
            await self.write(body[start : min(rest, start + SLICE_BYTES)])
        # The method of web.Response would send the whole body.
        await web.StreamResponse.write_eof(self, body[rest:])
