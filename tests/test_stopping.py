"""Requests and answers in progress when an instance stops."""

from __future__ import annotations

import asyncio
import socket

from tealcove.front import instance, settings
from tealcove.platform import names
from tealcove.standins import poolserver
from tests import platform_site

TTL_SECONDS = 0.1
# A time until SIGKILL that passes in a test, and one that doesn't.
BRIEF_GRACE_SECONDS = 1.0
LONG_GRACE_SECONDS = 60.0
RECEIVE_BUFFER = 65_536


def leaving(grace_seconds: float) -> settings.Leaving:
    return settings.Leaving(TTL_SECONDS, grace_seconds)


async def stop(one: instance.Instance) -> None:
    """Stop an instance as its process does after SIGTERM."""
    await one.leave()
    await one.stop()


class Connection:
    """A caller's connection, whose bytes a test writes and reads itself."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, request_id: str, path: str, length: int = 0) -> None:
        """Send the head of a request, without its body."""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {platform_site.HOST}\r\n"
            f"{names.REQUEST_ID}: {request_id}\r\n{names.API_KEY}: {platform_site.KEY}"
            f"\r\n{names.DEADLINE_MS}: 60000\r\nContent-Length: {length}\r\n\r\n"
        )
        self.writer.write(head.encode())

    async def read_answer(self) -> tuple[int, dict[str, str], bytes]:
        """Return the status, the headers and the whole body of the next answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.rstrip().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        body = await self.reader.readexactly(int(headers["Content-Length"]))
        return int(first.split()[1]), headers, body


async def connect(one: instance.Instance) -> Connection:
    """Connect to an instance, with little room for answers that aren't read."""
    host, _, port = one.settings.listen.callers.rpartition(":")
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    plain.setblocking(False)
    await asyncio.get_running_loop().sock_connect(plain, (host, int(port)))
    return Connection(*await asyncio.open_connection(sock=plain, limit=RECEIVE_BUFFER))


async def until_running(server: poolserver.PoolServer, count: int) -> None:
    """Wait until a server runs so many requests."""
    await platform_site.until(lambda: server.running == count)


async def test_requests_that_wait_for_a_slot_at_the_end_are_refused():
    """Guards against requests that are closed without an answer and have not run."""
    async with platform_site.site(1, leaving=leaving(BRIEF_GRACE_SECONDS)) as running:
        (server,) = running.servers
        server.call_seconds = platform_site.TIMEOUT_SECONDS
        (one,) = running.instances
        calls = [asyncio.create_task(running.send("/once/a")) for _ in range(8)]
        await until_running(server, poolserver.SLOTS)
        await platform_site.until(lambda: len(one.ingress.in_progress) == len(calls))
        await stop(running.instances.pop())
        answers = [await call for call in calls]
        refused = [answer for answer in answers if answer.status == 503]
        lost = [answer for answer in answers if answer.status == 502]
        assert len(refused) == len(calls) - poolserver.SLOTS
        assert all(names.RETRY_AFTER in answer.headers for answer in refused)
        assert all(b'"leaving"' in answer.body for answer in answers)
        assert len(lost) == len(server.runs) == poolserver.SLOTS


async def test_a_request_whose_body_is_slow_is_refused_at_the_end():
    """Guards against connections that are closed while a body is being sent."""
    async with platform_site.site(1, leaving=leaving(BRIEF_GRACE_SECONDS)) as running:
        one = running.instances.pop()
        caller = await connect(one)
        caller.send("r-1", "/once/a", length=10)
        caller.writer.write(b"half")
        await platform_site.until(lambda: one.ingress.in_progress)
        await stop(one)
        status, headers, _ = await caller.read_answer()
        assert (status, headers["Connection"]) == (503, "close")
        assert await caller.reader.read() == b""


async def test_an_idle_connection_holds_up_no_stop():
    """Guards against instances that are killed since a caller keeps its connection."""
    async with platform_site.site(1, leaving=leaving(LONG_GRACE_SECONDS)) as running:
        one = running.instances.pop()
        caller = await connect(one)
        caller.send("r-1", "/safe/a")
        assert (await caller.read_answer())[0] == 200
        await asyncio.wait_for(stop(one), platform_site.TIMEOUT_SECONDS)
        assert await caller.reader.read() == b""
