"""Streams that can't be resumed, and go on from a copy after their server crashed."""

from __future__ import annotations

import asyncio

from tealcove.front import settings
from tealcove.platform import names
from tealcove.standins import poolserver
from tests import platform_site

ENABLED = {"stream_copies": settings.StreamCopies(enabled=True)}
COMPLETE_STREAM = poolserver.stream_of(poolserver.FIRST_VERSION)
PATH = "/stream/copied/1"
ROUTE = platform_site.route("stream/copied", "stream", attempts=1, timeout_ms=30000)
# Long enough for a crash between two events, and for parts of the copy.
SLOW_SECONDS = 0.2


def running_server(running: platform_site.Site) -> poolserver.PoolServer:
    """Return the server that runs the only request."""
    (found,) = [server for server in running.servers if server.running]
    return found


async def crash_during(
    running: platform_site.Site, events: int, answers: asyncio.Task
) -> poolserver.PoolServer:
    """Crash the server of the only stream once its copy has so many events."""

    def is_copied() -> bool:
        kept = [copy for s in running.servers for copy in s.copies.kept.values()]
        return any(copy.progress.events >= events for copy in kept)

    await platform_site.until(is_copied)
    server = running_server(running)
    await server.crash()
    return server


async def test_a_stream_goes_on_from_its_copy_after_a_crash():
    """Guards against the loss of all work on streams that run once.

    The server crashes between two events; the answer must have all events once.
    """
    async with platform_site.site(servers=3, **ENABLED) as running:
        await running.declare(platform_site.configuration(ROUTE))
        for server in running.servers:
            server.event_interval = SLOW_SECONDS
        sending = asyncio.create_task(running.send(PATH, Tealcove_Deadline_Ms="20000"))
        crashed = await crash_during(running, 2, sending)
        answer = await sending
        assert (answer.status, answer.is_complete) == (200, True)
        assert answer.body == COMPLETE_STREAM
        assert answer.headers[names.SIGNATURE] == f"signed by {crashed.name}"
