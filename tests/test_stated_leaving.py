"""Backend servers whose answers say that they leave."""

from __future__ import annotations

from tealcove.standins import poolserver
from tests import platform_site

LEAVING = "1"
CALLERS = 8
# So many that some would reach the server by chance.
CALLS = 200


def told_at(
    server: poolserver.PoolServer, calls: list[platform_site.Call]
) -> dict[str, float]:
    """Return when each instance had first passed on an answer of a server."""
    ran = {run.request_id for run in server.runs}
    found: dict[str, float] = {}
    for call in calls:
        if call.request_id in ran:
            found[call.instance] = min(
                call.ended_at, found.get(call.instance, call.ended_at)
            )
    return found


def late_calls(
    server: poolserver.PoolServer, calls: list[platform_site.Call]
) -> list[platform_site.Call]:
    """Return the calls that reached a server by an instance that had been told."""
    told = told_at(server, calls)
    ran = {run.request_id for run in server.runs}
    return [
        call
        for call in calls
        if call.request_id in ran and call.sent_at > told[call.instance]
    ]


async def test_a_server_that_says_it_leaves_gets_nothing_more():
    """While the store was silent, a leaving server got requests until it was gone."""
    async with platform_site.connected_site(servers=3, instances=3) as running:
        leaving = running.servers[0]
        leaving.leaving = LEAVING
        calls = await running.call_until(lambda ended: len(ended) > CALLS, CALLERS)
        assert told_at(leaving, calls)
        assert not late_calls(leaving, calls)
        assert {call.answer.status for call in calls} == {200}


async def test_callers_are_told_when_every_server_leaves():
    """Callers were passed on to leaving servers, as if nothing had been said."""
    async with platform_site.connected_site(servers=2, instances=2) as running:
        for server in running.servers:
            server.leaving = LEAVING
        calls = await running.call_until(lambda ended: len(ended) > 60, CALLERS)
        for server in running.servers:
            assert not late_calls(server, calls)
        refused = [call.answer for call in calls if call.answer.status != 200]
        assert {answer.status for answer in refused} == {503}
        assert all("Retry-After" in answer.headers for answer in refused)


async def test_instances_keep_what_they_were_told_without_their_dispatcher():
    """The next dispatcher granted a leaving server until it heard of it itself."""
    async with platform_site.connected_site(servers=3, instances=3) as running:
        leaving = running.servers[0]
        leaving.leaving = LEAVING
        calls = await running.call_until(
            lambda ended: bool(told_at(leaving, ended)), CALLERS
        )
        (dispatcher,) = [one for one in running.instances if one.dispatcher.held]
        running.instances = [one for one in running.instances if one is not dispatcher]
        await dispatcher.stop()
        calls += await running.call_until(lambda ended: len(ended) > CALLS, CALLERS)
        assert not late_calls(leaving, calls)


async def test_a_server_that_starts_again_is_used_again():
    """A statement of an earlier start kept the next one out of service."""
    async with platform_site.connected_site(servers=1, instances=2) as running:
        (server,) = running.servers
        server.leaving = LEAVING
        for one in running.instances:
            await running.call("/safe/1", one)
        server.leaving = None
        table = platform_site.names.SERVERS_TABLE
        await running.write(table, server.name, server.entry(born=2))
        await running.call_until(
            lambda ended: [call.answer.status for call in ended[-4:]] == [200] * 4, 1
        )
