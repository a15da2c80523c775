"""Roll-outs ordered by the operator, against the platform's stand-ins."""

from __future__ import annotations

import asyncio

import msgspec

from tealcove.platform import names
from tealcove.standins import poolserver
from tests import platform_site

OLD, NEW = "v1", "v2"
KEY = names.ROLLOUT_KEY + "pool"
SERVERS = 3
# Seconds between two requests, and the duration of each: as long as the delay that
# other work on the machine may add, so that no version seems slow because of it.
PAUSE = 0.005
WORK_SECONDS = 0.05


async def status(running: platform_site.Site) -> dict[str, object]:
    """Return the roll-out's status that the operator reads."""
    row = await running.store.memory.table.read(names.STATUS_TABLE, KEY)
    return {} if row is None else msgspec.json.decode(row.value)


async def order(running: platform_site.Site, **changes: object) -> None:
    """Order a roll-out and start the servers of the new version."""
    found = {"service": "pool", "to": NEW, "period_s": 3, **changes}
    await running.write(names.OPERATOR_TABLE, KEY, msgspec.json.encode(found))
    for number in range(SERVERS):
        await running.add_server(f"n-{number}", NEW)
    for server in running.servers:
        server.call_seconds = WORK_SECONDS


async def call_until(
    running: platform_site.Site, state: str, faults: bool = False
) -> list[platform_site.Answer]:
    """Send requests until a roll-out reaches a state; return their answers."""
    answers: list[platform_site.Answer] = []
    async with asyncio.timeout(platform_site.TIMEOUT_SECONDS):
        while (await status(running)).get("state") != state:
            if faults:
                for server in of_version(running, NEW):
                    server.faults.append(poolserver.Fault.FAILED)
            answers.append(await running.send("/once/x"))
            await asyncio.sleep(PAUSE)
    return answers


def of_version(
    running: platform_site.Site, version: str
) -> list[poolserver.PoolServer]:
    return [server for server in running.servers if server.version == version]


def runs(running: platform_site.Site, version: str) -> int:
    """Return the number of requests that the servers of a version have run."""
    return sum(len(server.runs) for server in of_version(running, version))


async def test_a_good_version_takes_over():
    async with platform_site.site(servers=SERVERS) as running:
        await order(running)
        answers = await call_until(running, "done")
        assert {answer.status for answer in answers} == {200}
        assert (await status(running))["to"] == NEW
        before = runs(running, OLD)
        for _ in range(20):
            assert (await running.send("/once/x")).status == 200
        assert runs(running, OLD) == before


async def test_a_bad_version_is_rolled_back():
    async with platform_site.site(servers=SERVERS) as running:
        await order(running, period_s=60)
        answers = await call_until(running, "rolled_back", faults=True)
        seen = runs(running, NEW)
        assert seen <= 0.1 * len(answers) + 50
        for _ in range(20):
            assert (await running.send("/once/x")).status == 200
        assert runs(running, NEW) == seen
        found = await status(running)
        assert (found["state"], found["to"]) == ("rolled_back", NEW)
        assert "failed" in found["reason"]


async def test_an_unreadable_order_changes_nothing():
    async with platform_site.site(servers=1) as running:
        await running.write(names.OPERATOR_TABLE, KEY, b"{")
        await running.add_server("n-0", NEW)
        async with asyncio.timeout(platform_site.TIMEOUT_SECONDS):
            while not runs(running, NEW):
                assert (await running.send("/once/x")).status == 200
        assert await status(running) == {}
