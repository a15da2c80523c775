"""Backend servers that limit the requests that they take from all instances."""

from __future__ import annotations

import asyncio

from tealcove.standins import poolserver
from tests import platform_site

LIMIT = 1.0
# What a server that names a limit may get in a window: a multiple of the limit, and a
# number of requests beyond.
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
REQUESTS = 120
CALLERS = 6


async def send_all(running: platform_site.Site, count: int = REQUESTS) -> list[int]:
    """Send requests to all instances in turn, and return the statuses."""
    numbers = iter(range(count))
    statuses = []

    async def call() -> None:
        for number in numbers:
            at = running.instances[number % len(running.instances)]
            answer = await running.send(f"/safe/{number}", at)
            statuses.append(answer.status)

    await asyncio.gather(*(call() for _ in range(CALLERS)))
    return statuses


def most_in_a_window(server: poolserver.PoolServer) -> int:
    """Return the largest number of requests that a server got in a window."""
    arrivals = [run.arrived_at for run in server.runs]
    return max(
        sum(since <= at <= since + WINDOW_SECONDS for at in arrivals)
        for since in arrivals
    )


async def test_a_server_that_names_a_limit_gets_no_more():
    """A server in need got requests whenever a slot was free."""
    async with platform_site.site(servers=2, instances=3) as running:
        limited = running.servers[0]
        limited.limit = str(LIMIT)
        assert set(await send_all(running)) == {200}
        allowed = ALLOWED_FACTOR * LIMIT * WINDOW_SECONDS + ALLOWED_EXTRA
        assert most_in_a_window(limited) <= allowed
