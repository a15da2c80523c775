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


async def send_all(running: platform_site.Site) -> list[int]:
    """Send requests to all instances in turn, and return the statuses."""
    numbers = iter(range(REQUESTS))
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


def limits_of(running: platform_site.Site) -> dict[str, float | None]:
    """Return the limits of all servers by the knowledge of their dispatcher."""
    (dispatcher,) = [one for one in running.instances if one.dispatcher.held]
    (held,) = dispatcher.dispatcher.held.values()
    views = held.scheduler.backend_views()
    return {view.name: view.restrictions.request_limit for view in views}


async def test_a_server_that_names_a_limit_gets_no_more():
    """A server in need got requests whenever a slot was free."""
    async with platform_site.connected_site(servers=2, instances=3) as running:
        limited = running.servers[0]
        limited.limit = str(LIMIT)
        assert set(await send_all(running)) == {200}
        allowed = ALLOWED_FACTOR * LIMIT * WINDOW_SECONDS + ALLOWED_EXTRA
        assert most_in_a_window(limited) <= allowed


async def test_a_limit_outlives_its_dispatcher():
    """The next dispatcher granted every free slot until it heard of the limit."""
    async with platform_site.connected_site(servers=2, instances=3) as running:
        limited = running.servers[0]
        limited.limit = str(LIMIT)
        informed = []
        while not informed:
            await send_all(running)
            (dispatcher,) = [one for one in running.instances if one.dispatcher.held]
            others = [one for one in running.instances if one is not dispatcher]
            informed = [one for one in others if one.tickets.stated.known]
        running.instances = others
        await dispatcher.stop()
        before = len(limited.runs)
        assert (await running.send("/safe/1", informed[0])).status == 200
        assert len(limited.runs) == before
        assert limits_of(running)[limited.name] == LIMIT


async def test_a_limit_ends_with_the_need():
    """A server that no longer named its limit got one request a second for good."""
    async with platform_site.connected_site(servers=1, instances=2) as running:
        (server,) = running.servers
        server.limit = str(LIMIT)
        assert (await running.send("/safe/1")).status == 200
        server.limit = None
        for number in range(20):
            assert (await running.send(f"/safe/{number}")).status == 200
        assert set(limits_of(running).values()) == {None}


async def test_rejections_name_the_limit_too():
    """A server that rejects what is beyond its slots was asked as often as before."""
    async with platform_site.connected_site(servers=2, instances=2) as running:
        limited = running.servers[0]
        limited.limit = str(LIMIT)
        limited.faults.extend([poolserver.Fault.FULL] * 3)
        assert set(await send_all(running)) == {200}
        allowed = ALLOWED_FACTOR * LIMIT * WINDOW_SECONDS + ALLOWED_EXTRA
        assert len(limited.runs) <= allowed


async def test_errors_without_a_limit_do_not_end_it():
    """Each error of a server in need lifted its limit until the next answer."""
    async with platform_site.connected_site(servers=1, instances=2) as running:
        (server,) = running.servers
        server.limit = str(LIMIT)
        assert (await running.send("/safe/1")).status == 200
        server.limit = None
        server.faults.append(poolserver.Fault.FAILED)
        assert (await running.send("/once/1")).status == 500
        assert limits_of(running)[server.name] == LIMIT
