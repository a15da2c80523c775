"""Backend servers that state their load in the heads of their answers."""

from __future__ import annotations

from tealcove.dispatch import timefactor
from tealcove.front import settings
from tealcove.platform import names
from tealcove.standins import pool_load, poolserver
from tests import platform_site

CALLS = 60
SLOW_FACTOR = 20.0
# Seconds by which a message about a statement may be late.
MARGIN_SECONDS = 0.2


def early_runs(
    server: poolserver.PoolServer, calls: list[platform_site.Call]
) -> list[poolserver.Run]:
    """Return the runs of a server that began while its last statement was fresh."""
    ended = {call.request_id: call.ended_at for call in calls}
    told = [ended[run.request_id] for run in server.runs]
    until = timefactor.FRESH_SECONDS - MARGIN_SECONDS
    return [
        run
        for run, at in zip(server.runs[1:], told, strict=False)
        if run.arrived_at - at < until
    ]


async def call_in_turn(running: platform_site.Site, path: str) -> list:
    """Send requests to all instances in turn, one at a time."""
    return [
        await running.call(path, running.instances[number % len(running.instances)])
        for number in range(CALLS)
    ]


async def test_a_stated_slow_moment_moves_requests_and_callers_never_see_it():
    """Dispatchers never learned that a server was slow: its header was dropped."""
    async with platform_site.connected_site(
        servers=2, instances=2, server_load=settings.ServerLoad(enabled=True)
    ) as running:
        for server in running.servers:
            server.load.stating = pool_load.Stating.TRULY
        # Its work takes no time, so that only its statements make it seem slow.
        slow, sound = running.servers
        slow.load.time_factor = SLOW_FACTOR
        calls = await call_in_turn(running, "/stream/1")
        assert sound.runs
        assert not early_runs(slow, calls)
        assert {call.answer.status for call in calls} == {200}
        written = {name.lower() for call in calls for name in call.answer.headers}
        assert names.LOAD.lower() not in written


async def test_requests_of_others_keep_requests_from_a_loaded_server():
    """A server that others had filled got as many requests as an empty one."""
    async with platform_site.connected_site(
        servers=2, instances=1, server_load=settings.ServerLoad(enabled=True)
    ) as running:
        for server in running.servers:
            server.load.stating = pool_load.Stating.TRULY
            server.load.states_time = False
        full, free = running.servers
        full.load.others = poolserver.SLOTS
        calls = await call_in_turn(running, "/safe/1")
        assert free.runs
        assert not early_runs(full, calls)


async def test_statements_change_nothing_unless_they_are_used():
    """An instance without the setting lost slots to what a server stated."""
    async with platform_site.connected_site(servers=1, instances=1) as running:
        (server,) = running.servers
        server.load.stating = pool_load.Stating.TRULY
        server.load.others = poolserver.SLOTS
        calls = await call_in_turn(running, "/safe/1")
        assert {call.answer.status for call in calls} == {200}
        (view,) = running.instances[0].dispatcher.views_by_pool()["pool"]
        assert view.free_slots(calls[-1].ended_at) == view.spec.slots
