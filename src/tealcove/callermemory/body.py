"""Reads the bodies of callers' requests."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tealcove import clock
from tealcove.callermemory import holding

# A body is held once for retries, and once more while it is being sent to a server.
COPIES = 2


class ScarceError(Exception):
    """There is no memory left for a body."""


async def read(request: web.BaseRequest, most: int, seconds: float) -> bytes:
    """Return the whole body of a request.

    `most` is its greatest length in bytes. Raises web.HTTPRequestEntityTooLarge for a
    longer one, TimeoutError after some seconds, and ScarceError when memory is scarce.
    """
    if (request.content_length or 0) > most:
        raise web.HTTPRequestEntityTooLarge(most)
    held = holding.of_request(request, clock.now())
    try:
        async with asyncio.timeout(seconds) as limit:
            held.begin(holding.Step.ARRIVING, clock.now())
            held.refuse = lambda: limit.reschedule(asyncio.get_running_loop().time())
            return await collect(request, most, held)
    except TimeoutError:
        if held.is_ended:
            raise ScarceError from None
        raise
    finally:
        held.refuse = None
        held.begin(holding.Step.ANSWERING, clock.now())


async def collect(request: web.BaseRequest, most: int, held: holding.Holding) -> bytes:
    """Return all parts of a body, each of which is counted before the next is read."""
    found = bytearray()
    while part := await request.content.readany():
        found += part
        if len(found) > most:
            raise web.HTTPRequestEntityTooLarge(most)
        now = clock.now()
        held.receive(len(part), now)
        # All that has arrived is part of the body until it ends.
        held.take(len(part) if request.content.is_eof() else held.ahead)
        if not held.keep(COPIES * len(part), now):
            held.release()
            raise ScarceError
    return bytes(found)
