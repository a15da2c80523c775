"""Backend servers that have just started and bear few requests a second."""

from __future__ import annotations

from tealcove.front import instance
from tealcove.platform import names
from tests import platform_site

INSTANCES = 2
RATE = 5.0
COLD_MS = 10_000
CALLS = 30
CALLERS = 8
# Requests that a cold server bears in any second: one and a half times its rate, and 5.
MOST = 12


async def test_a_cold_server_gets_no_more_than_it_bears() -> None:
    """A server that had just started got as many requests as a warm one, and fell."""
    async with platform_site.connected_site(1, INSTANCES) as running:
        (server,) = running.servers
        services = [{"name": "pool", "engine": {"stride": 4}, "cold_per_s": RATE}]
        found = platform_site.configuration(version=2, services=services)
        await running.write(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, found)
        server.cold_left_ms = COLD_MS
        await running.write(names.SERVERS_TABLE, server.name, server.entry())
        await platform_site.until(lambda: all(map(is_known_cold, running.instances)))
        before = len(server.runs)
        await running.call_until(
            lambda ended: len(server.runs) >= before + CALLS, CALLERS
        )
        arrivals = [run.arrived_at for run in server.runs[before:]]
        most = max(sum(at <= one < at + 1.0 for one in arrivals) for at in arrivals)
        assert most <= MOST


def is_known_cold(one: instance.Instance) -> bool:
    """Tell whether an instance knows that the server is cold."""
    (spec,) = one.pools.pool("pool").spec.servers
    return spec.cold_rate == RATE and spec.cold_seconds > 0.0
