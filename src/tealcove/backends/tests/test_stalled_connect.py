"""Connections of a process that stands still while they are made."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import AsyncIterator, Iterator

import aiohttp
import pytest

from tealcove import stalls
from tealcove.backends import strict

PAUSE_SECONDS = 0.35
CONNECT_SECONDS = 0.25
# Turns of the event loop after which the pause begins.
TURNS = (1, 2, 3, 4, 5, 6, 8)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def stand_still() -> None:
    """Run nothing else in this process for a while."""
    time.sleep(PAUSE_SECONDS)


@pytest.fixture
def port() -> Iterator[int]:
    """Return the port of a server that answers while the event loop stands still."""
    with socket.create_server(("127.0.0.1", 0)) as listening:

        def serve() -> None:
            while True:
                try:
                    accepted, _ = listening.accept()
                except OSError:
                    return
                with accepted:
                    if accepted.recv(65536):
                        accepted.sendall(ANSWER)

        threading.Thread(target=serve, daemon=True).start()
        yield listening.getsockname()[1]
        listening.shutdown(socket.SHUT_RDWR)


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """Return a session whose connections have to be made within a moment."""
    own_stalls = stalls.Stalls()
    own_stalls.start()
    connector = strict.StrictConnector(3, own_stalls, CONNECT_SECONDS)
    async with aiohttp.ClientSession(connector=connector) as found:
        yield found
    own_stalls.stop()


@pytest.mark.parametrize("turns", TURNS)
async def test_a_connection_made_in_a_pause_is_used(
    session: aiohttp.ClientSession, port: int, turns: int
) -> None:
    """A connection that the kernel had long made was taken for a lost one."""

    async def call() -> str:
        async with session.get(f"http://127.0.0.1:{port}/") as response:
            return await response.text()

    calling = asyncio.create_task(call())
    for _ in range(turns):
        await asyncio.sleep(0)
    stand_still()
    assert await calling == "ok"


async def test_a_server_that_accepts_nothing_is_not_waited_for(
    session: aiohttp.ClientSession,
) -> None:
    """A lost path has to be noticed while another one may still be tried."""
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        address = full.getsockname()
        # Fills the queue of new connections, so that the next ones aren't answered.
        waiting = [socket.socket() for _ in range(3)]
        for one in waiting:
            one.setblocking(False)
            one.connect_ex(address)
        with pytest.raises(aiohttp.ConnectionTimeoutError):
            await session.get(f"http://127.0.0.1:{address[1]}/")
        for one in waiting:
            one.close()
