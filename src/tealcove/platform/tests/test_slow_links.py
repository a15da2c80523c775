"""Tests of reading the store's documents over a slow link."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from tealcove import errors
from tealcove.platform import names, store, wire

TABLE = "declared"
VALUE = "eA=="
# Seconds that the client waits for the next bytes; the whole reply takes longer.
SILENCE = 0.5
PIECES = 10
PAUSE = 0.1


def page() -> bytes:
    """Return the store's reply with one row."""
    row = wire.WireRow(TABLE, "config", value=VALUE, row_version=3)
    return msgspec.json.encode(wire.WirePage((row,), 3))


async def answer_slowly(request: web.Request) -> web.StreamResponse:
    """Send a reply in pieces, like a link of a few Mbit/s."""
    content = page()
    response = web.StreamResponse()
    await response.prepare(request)
    size = len(content) // PIECES + 1
    for start in range(0, len(content), size):
        await asyncio.sleep(PAUSE)
        await response.write(content[start : start + size])
    await response.write_eof()
    return response


async def answer_nothing(request: web.Request) -> web.StreamResponse:
    """Send the first bytes of a reply and nothing more."""
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(page()[:10])
    await asyncio.sleep(60.0)
    return response


async def read(handler) -> int:
    """Return the version that a client reads from a store."""
    app = web.Application()
    app.add_routes([web.get(names.READ_PATH, handler)])
    async with TestServer(app) as server:
        timeouts = store.Timeouts(total=SILENCE)
        client = store.StoreClient(f"http://{server.host}:{server.port}", timeouts)
        try:
            return (await client.read_all(TABLE)).version
        finally:
            await client.close()


async def test_large_document_is_read_over_slow_link() -> None:
    """Guards against a starting instance that never gets its configuration.

    If a call is limited by its total duration, the transfer of a large configuration
    over a slow link times out and starts again from the beginning. After a restart
    of all instances, those with slow links then respond 503 forever.
    """
    assert await read(answer_slowly) == 3


async def test_stalled_reply_times_out() -> None:
    with pytest.raises(errors.PlatformUnavailableError):
        await read(answer_nothing)
