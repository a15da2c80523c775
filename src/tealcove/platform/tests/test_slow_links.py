"""Documents of the store that take long on a slow link."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from tealcove import errors
from tealcove.platform import names, store

TABLE = "declared"
VALUE = "eA=="
# Seconds that the client waits for the next bytes; the whole answer takes longer.
SILENCE = 0.5
PIECES = 10
PAUSE = 0.1


def page() -> bytes:
    """Return the store's answer with one row."""
    row = store.WireRow(TABLE, "config", value=VALUE, row_version=3)
    return msgspec.json.encode(store.WirePage((row,), 3))


async def answer_slowly(request: web.Request) -> web.StreamResponse:
    """Send an answer in pieces, as a link of a few Mbit/s does."""
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
    """Begin an answer and send no more of it."""
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


async def test_a_large_document_comes_to_its_end_on_a_slow_link() -> None:
    """An instance that starts never gets its configuration.

    Symptom: after a restart of everything, instances with slow links answer 503 for
    good. Sequence: the configuration has grown; its transfer takes longer than a call
    may. Cause: the call is given up by its length, and begun again from the start.
    """
    assert await read(answer_slowly) == 3


async def test_an_answer_that_stops_is_given_up() -> None:
    with pytest.raises(errors.PlatformUnavailableError):
        await read(answer_nothing)
