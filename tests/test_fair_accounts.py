"""Fair sharing of backend servers among accounts, over several instances."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
from collections.abc import AsyncIterator, Iterable

from tealcove import clock, ids
from tealcove.front import instance, settings
from tealcove.platform import names
from tests import partitions, platform_site

SERVERS = 2
INSTANCES = 3
# Far longer than what other work on the machine adds to a request.
WORK_SECONDS = 0.3
# Callers of each account, who send one request after the other; the servers have eight
# slots. If each caller got the same, the flood would get sixteen times as much.
FLOODING, FEW = 48, 3
CALLERS = {"flood": FLOODING, "small": FEW}
# Far longer than a takeover and the work, so that nothing but a lost share refuses a
# patient caller of the small account.
PATIENT_MS = 20000
PATIENT_ROUTE = platform_site.route(
    "safe", "safe", goal_ms=PATIENT_MS // 2, timeout_ms=PATIENT_MS
)
# More flooding ones, as half of the callers use each side of a partition.
PATIENT_CALLERS = {"flood": 2 * FLOODING, "small": FEW}
# Answers of the small account that decide a test.
WANTED = 40
CELL = ids.CellId("pool/0")


def configuration(*routes: dict[str, object], version: int = 2) -> bytes:
    """Return a configuration with an account for each kind of callers."""
    return platform_site.configuration(
        *routes,
        version=version,
        tenants=[
            {"name": name, "api_keys": [f"key-of-{name}"], "unit": "token"}
            for name in CALLERS
        ],
    )


class Competition:
    """Callers of both accounts at a site, and how many answers they got where."""

    def __init__(self, running: platform_site.Site, callers: dict[str, int]) -> None:
        self.site = running
        # How many there are by account.
        self.callers = callers
        # When callers give up; None: as the site's callers usually do.
        self.deadline_ms: int | None = None
        # Instances that callers use, by turns of their numbers.
        self.sides = [running.instances]
        self.numbers = itertools.count()
        # By account and instance.
        self.served: collections.Counter[tuple[str, ids.InstanceId]]
        self.served = collections.Counter()
        # Statuses of the small account's requests that were not served.
        self.failed: list[int | None] = []
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all callers."""
        for account, count in self.callers.items():
            self.tasks += [
                asyncio.create_task(self.call(account, place)) for place in range(count)
            ]

    async def call(self, account: str, place: int) -> None:
        """Send requests to all instances of a side in turn until cancelled."""
        headers = {names.API_KEY: f"key-of-{account}"}
        if self.deadline_ms is not None:
            headers[names.DEADLINE_MS] = str(self.deadline_ms)
        while True:
            number = next(self.numbers)
            side = self.sides[place % len(self.sides)]
            at = side[number % len(side)]
            answer = await self.site.send(f"/safe/{number}", at, **headers)
            self.served[account, at.name] += answer.status == 200
            if answer.status != 200:
                if account == "small":
                    self.failed.append(answer.status)
                await asyncio.sleep(platform_site.POLL_SECONDS)

    async def stop(self) -> None:
        """End all callers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def count(self, account: str, among: Iterable[instance.Instance]) -> int:
        """Return how many answers an account got at some instances."""
        return sum(self.served[account, one.name] for one in among)

    async def check(self, side: int = 0) -> None:
        """Check that a caller of the small account gets twice a flooding one's part.

        That is of the callers of one side.
        """
        among = self.sides[side]
        callers = {
            name: len(range(side, count, len(self.sides)))
            for name, count in self.callers.items()
        }
        wanted = WANTED * callers["small"] / FEW
        before = {name: self.count(name, among) for name in CALLERS}
        await platform_site.until(
            lambda: self.count("small", among) >= before["small"] + wanted
        )
        small, flood = (
            (self.count(name, among) - before[name]) / callers[name]
            for name in ("small", "flood")
        )
        assert small >= 2.0 * flood


@contextlib.asynccontextmanager
async def competition(
    is_fair: bool = True, instances: int = INSTANCES, is_patient: bool = False
) -> AsyncIterator[Competition]:
    """Run a site with callers of both accounts; patient ones wait for any line."""
    async with platform_site.connected_site(
        SERVERS, instances, fair_accounts=settings.FairAccounts(enabled=is_fair)
    ) as running:
        for server in running.servers:
            server.call_seconds = WORK_SECONDS
        routes = (PATIENT_ROUTE,) if is_patient else ()
        await running.declare(configuration(*routes))
        found = Competition(running, PATIENT_CALLERS if is_patient else CALLERS)
        found.deadline_ms = PATIENT_MS if is_patient else None
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


async def test_a_flood_does_not_push_out_another_account_beyond_a_partition():
    """Guards against shares that are lost while a service has two dispatchers.

    Callers go on at both sides. Without its dispatcher, a side has to measure the
    accounts anew; when the partition ends, both have served the cell, and each has
    counted what the other one did not see.
    """
    async with competition(instances=4, is_patient=True) as competing:
        await competing.check()
        first = dispatcher(competing.site)
        others = [one for one in competing.site.instances if one is not first]
        near, far = competing.sides = [[first, others[0]], others[1:]]
        cut = partitions.Partition(
            (one.mesh for one in near), (one.mesh for one in far)
        )
        cut.is_active = True
        await platform_site.until(
            lambda: partitions.know_only(near) and partitions.know_only(far)
        )
        await asyncio.gather(competing.check(0), competing.check(1))
        cut.is_active = False
        await platform_site.until(lambda: partitions.know_only(near + far))
        competing.sides = [competing.site.instances]
        await competing.check()
        assert not competing.failed
