"""Fair sharing of backend servers among accounts, over several instances."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator

from tealcove import clock, ids
from tealcove.front import instance, settings
from tealcove.platform import names
from tests import platform_site

SERVERS = 2
INSTANCES = 3
# Far longer than what other work on the machine adds to a request.
WORK_SECONDS = 0.3
# Callers of each account, who send one request after the other; the servers have eight
# slots. If each caller got the same, the flood would get sixteen times as much.
FLOODING, FEW = 48, 3
CALLERS = {"flood": FLOODING, "small": FEW}
# Answers of the small account that decide a test.
WANTED = 40
CELL = ids.CellId("pool/0")


def configuration(version: int = 2) -> bytes:
    """Return a configuration with an account for each kind of callers."""
    return platform_site.configuration(
        version=version,
        tenants=[
            {"name": name, "api_keys": [f"key-of-{name}"], "unit": "token"}
            for name in CALLERS
        ],
    )


class Competition:
    """Callers of both accounts at a site, and how many answers they got."""

    def __init__(self, running: platform_site.Site) -> None:
        self.site = running
        self.numbers = itertools.count()
        self.served = dict.fromkeys(CALLERS, 0)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all callers."""
        for account, count in CALLERS.items():
            self.tasks += [
                asyncio.create_task(self.call(account)) for _ in range(count)
            ]

    async def call(self, account: str) -> None:
        """Send requests to all instances in turn until cancelled."""
        while True:
            number = next(self.numbers)
            at = self.site.instances[number % len(self.site.instances)]
            key = {names.API_KEY: f"key-of-{account}"}
            answer = await self.site.send(f"/safe/{number}", at, **key)
            self.served[account] += answer.status == 200
            if answer.status != 200:
                await asyncio.sleep(platform_site.POLL_SECONDS)

    async def stop(self) -> None:
        """End all callers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def check(self) -> None:
        """Check that a caller of the small account gets twice a flooding one's part."""
        before = dict(self.served)
        await platform_site.until(
            lambda: self.served["small"] >= before["small"] + WANTED
        )
        small, flood = (
            (self.served[name] - before[name]) / CALLERS[name]
            for name in ("small", "flood")
        )
        assert small >= 2.0 * flood


@contextlib.asynccontextmanager
async def competition(is_fair: bool = True) -> AsyncIterator[Competition]:
    """Run a site with callers of both accounts."""
    async with platform_site.connected_site(
        SERVERS, INSTANCES, fair_accounts=settings.FairAccounts(enabled=is_fair)
    ) as running:
        for server in running.servers:
            server.call_seconds = WORK_SECONDS
        await running.declare(configuration())
        found = Competition(running)
        found.start()
        try:
            yield found
        finally:
            await found.stop()


def dispatcher(running: platform_site.Site) -> instance.Instance:
    """Return the instance that serves the cell."""
    first = running.instances[0]
    cell = first.spread.find(CELL)
    ranked = first.members.rank(CELL, clock.now(), cell.data_centre)
    return next(one for one in running.instances if one.name == ranked[0])


def heard_by(one: instance.Instance) -> set[tuple[ids.CellId, ids.InstanceId]]:
    """Return the cells and instances whose use an instance was told."""
    return set(one.dispatcher.sharing.heard)


async def test_a_flood_does_not_push_out_another_account():
    """Guards against servers that are shared by the number of callers."""
    async with competition() as competing:
        await competing.check()


async def test_a_flood_does_not_push_out_another_account_after_a_takeover():
    """Guards against a dispatcher's death after which a flood gets all slots.

    The instances that may take over are told the use before.
    """
    async with competition() as competing:
        await competing.check()
        first = dispatcher(competing.site)
        others = [one for one in competing.site.instances if one is not first]
        await platform_site.until(
            lambda: all((CELL, first.name) in heard_by(one) for one in others)
        )
        await competing.site.end(first)
        await competing.check()


async def test_a_flood_does_not_push_out_another_account_on_new_instances():
    """Guards against shares that are lost with the last instance that measured them."""
    async with competition() as competing:
        await competing.check()
        before = list(competing.site.instances)
        for _ in before:
            await competing.site.add_instance()
        for one in before:
            await competing.site.end(one)
        await competing.check()
