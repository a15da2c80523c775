"""Overload at real instances: refusals with a return time, and returns that are served.

Callers send twice what the servers complete. A caller whose return is promised comes
back as told, under a new request id and at another instance.
"""

from __future__ import annotations

import asyncio
import itertools

import msgspec

from tealcove import clock
from tealcove.catalog import declared
from tealcove.front import instance, settings
from tealcove.ingress import acceptance, call
from tealcove.platform import names
from tests import partitions, platform_site

CALL_SECONDS = 0.4
GOAL_MS = 1000
TIMEOUT_MS = 9000
DEADLINE_SECONDS = 6.0
# Requests a second: two servers with four slots each complete 20.
RATE = 40.0
# The same during a partition, at whose sides all slots are granted.
PARTED_RATE = 60.0
RETURNS = 4
OVERLOAD_STATUS = 503
# Callers keep no addresses of instances that leave, so that these may end soon.
SHORT_SECONDS = 0.1


class Return(msgspec.Struct):
    """The return of a refused caller, and its status once it's answered."""

    path: str
    refused_by: instance.Instance
    status: int | None = None


class Overload:
    """Callers who send at a constant rate, and those of them who return."""

    def __init__(self, running: platform_site.Site) -> None:
        self.running = running
        self.numbers = itertools.count()
        self.tasks: list[asyncio.Task[None]] = []
        self.refused: list[platform_site.Answer] = []
        self.waits: list[float] = []
        self.returns: list[Return] = []
        self.is_over = False
        self.rate = RATE
        # Callers return at another instance of the side that refused them.
        self.sides = [running.instances]

    async def run(self) -> None:
        """Start requests at all instances in turn until the overload is over."""
        while not self.is_over:
            number = next(self.numbers)
            self.tasks.append(asyncio.create_task(self.call(number)))
            await asyncio.sleep(1.0 / self.rate)

    async def call(self, number: int) -> None:
        """Send a request; return as told if that's promised."""
        at = self.instance(number)
        path = f"/safe/{number}"
        began = clock.now()
        answer = await self.send(path, at, DEADLINE_SECONDS)
        if answer.status != OVERLOAD_STATUS:
            return
        self.refused.append(answer)
        self.waits.append(clock.now() - began)
        if not is_promised(path, at):
            return
        returned = Return(path, at)
        self.returns.append(returned)
        await asyncio.sleep(float(answer.headers[names.RETRY_AFTER]))
        left = DEADLINE_SECONDS - (clock.now() - began)
        answer = await self.send(path, self.other_than(at, number), left)
        returned.status = answer.status

    def other_than(self, one: instance.Instance, number: int) -> instance.Instance:
        """Return another instance of the same side."""
        (side,) = [found for found in self.sides if one in found] or self.sides
        others = [found for found in side if found is not one]
        return others[number % len(others)]

    def instance(self, number: int) -> instance.Instance:
        """Return one of the instances that are left."""
        return self.running.instances[number % len(self.running.instances)]

    async def send(
        self, path: str, at: instance.Instance, left: float
    ) -> platform_site.Answer:
        """Send a request whose caller gives up in so many seconds."""
        deadline = str(int(left * platform_site.MILLISECONDS))
        headers = {names.DEADLINE_MS: deadline}
        return await self.running.send(path, at, **headers)

    def open_returns(self, side: list[instance.Instance] | None = None) -> list[Return]:
        """Return the returns that were promised at a side and aren't answered yet."""
        side = self.running.instances if side is None else side
        return [
            one for one in self.returns if one.status is None and one.refused_by in side
        ]

    def count_returned(self, side: list[instance.Instance], first: int) -> int:
        """Return how many returns of a side are answered, from a number on."""
        found = self.returns[first:]
        return sum(one.status is not None and one.refused_by in side for one in found)

    async def end(self) -> None:
        """Send no more, and wait for all answers."""
        self.is_over = True
        await asyncio.gather(*self.tasks)


def is_promised(path: str, at: instance.Instance) -> bool:
    """Tell whether an instance keeps a promise for a request."""
    received = call.Call(
        request_id="",
        method="POST",
        target=path,
        host="",
        path=path,
        headers=(),
        body=b"x",
        key=None,
        caller_timeout=None,
        work=call.Work(),
    )
    account = declared.Account(platform_site.ACCOUNT, None, None)
    digest = acceptance.digest(received, account)
    kept = at.tickets.promises.kept
    return any(kept.has(cell, digest) for cell in kept.by_cell)


async def overload(running: platform_site.Site) -> tuple[Overload, asyncio.Task[None]]:
    """Start an overload."""
    for server in running.servers:
        server.call_seconds = CALL_SECONDS
    route = platform_site.route(
        "safe", "safe", goal_ms=GOAL_MS, timeout_ms=TIMEOUT_MS, attempts=1
    )
    await running.declare(platform_site.configuration(route))
    found = Overload(running)
    return found, asyncio.create_task(found.run())


def admitting(servers: int, instances: int, **changes: object):
    """Run a site that refuses early."""
    return platform_site.connected_site(
        servers, instances, admission=settings.Admission(enabled=True), **changes
    )


async def test_an_overload_is_refused_in_time_and_promised_returns_are_served():
    """Guards against callers who wait in vain, and return only to be refused again."""
    async with admitting(2, 3) as running:
        load, sending = await overload(running)
        await platform_site.until(
            lambda: len([one for one in load.returns if one.status]) >= RETURNS
        )
        load.is_over = True
        await sending
        await load.end()
        told = [float(one.headers[names.RETRY_AFTER]) for one in load.refused]
        assert all(0.0 < wait <= DEADLINE_SECONDS / 3 + 0.01 for wait in told)
        assert all(b'"not_run"' in one.body for one in load.refused)
        waits = sorted(load.waits)
        assert waits[len(waits) // 2] < GOAL_MS / platform_site.MILLISECONDS
        assert [one.status for one in load.returns] == [200] * len(load.returns)
        counts = [one.admission_counts for one in running.instances]
        assert sum(one.kept for one in counts) >= RETURNS
        assert sum(one.refused_at_once for one in counts) >= RETURNS


async def test_promises_hold_when_their_dispatcher_is_killed():
    """Guards against callers that are refused again since the dispatcher is gone.

    The callers return at the instances that are left, which send the promises that
    passed through them to the next dispatcher.
    """
    async with admitting(2, 3) as running:
        load, sending = await overload(running)

        await platform_site.until(
            lambda: len(load.returns) >= RETURNS and len(load.open_returns()) >= 2
        )
        (dispatcher,) = [one for one in running.instances if one.dispatcher.held]
        promised = load.open_returns()
        await running.end(dispatcher)
        await platform_site.until(
            lambda: all(one.status is not None for one in promised)
        )
        load.is_over = True
        await sending
        await load.end()
        assert [one.status for one in promised] == [200] * len(promised)


async def test_promises_hold_on_both_sides_of_a_partition_and_after_its_end():
    """Guards against callers that are refused again while there are two dispatchers.

    The side without the dispatcher goes on with what its entries have passed on. When
    the partition ends, the first dispatcher has never heard of what was promised there.
    """
    async with admitting(2, 4) as running:
        load, sending = await overload(running)
        await platform_site.until(lambda: len(load.open_returns()) >= 2)
        (dispatcher,) = [one for one in running.instances if one.dispatcher.held]
        others = [one for one in running.instances if one is not dispatcher]
        near, far = [dispatcher, others[0]], others[1:]
        cut = partitions.Partition(
            (one.mesh for one in near), (one.mesh for one in far)
        )
        load.sides = [near, far]
        # Each side takes the servers for its own.
        load.rate = PARTED_RATE
        cut.is_active = True
        await platform_site.until(
            lambda: partitions.know_only(near) and partitions.know_only(far)
        )
        before = len(load.returns)
        await platform_site.until(
            lambda: all(
                load.count_returned(side, before) >= RETURNS and load.open_returns(side)
                for side in load.sides
            )
        )
        cut.is_active = False
        await platform_site.until(lambda: partitions.know_only(near + far))
        before = len(load.returns)
        await platform_site.until(
            lambda: load.count_returned(running.instances, before) >= RETURNS
        )
        load.is_over = True
        await sending
        await load.end()
        assert [one.status for one in load.returns] == [200] * len(load.returns)


async def test_promises_hold_while_all_instances_are_replaced():
    """Guards against callers that are refused again by instances that are new.

    The instances that made a promise, passed it on and were told of it have all ended.
    """
    leaving = settings.Leaving(directory_ttl_seconds=SHORT_SECONDS)
    async with admitting(2, 3, leaving=leaving) as running:
        load, sending = await overload(running)
        await platform_site.until(lambda: len(load.open_returns()) >= 2)
        before = list(running.instances)
        for _ in before:
            await running.add_instance()
        for one in before:
            # Callers use it no longer, and those that wait there are answered.
            running.instances.remove(one)
            await one.leave()
            await one.stop()
            await platform_site.until(lambda: partitions.know_only(running.instances))
        count = len(load.returns)
        await platform_site.until(
            lambda: load.count_returned(running.instances, count) >= RETURNS
        )
        load.is_over = True
        await sending
        await load.end()
        assert [one.status for one in load.returns] == [200] * len(load.returns)


async def test_without_the_setting_nothing_is_refused_early():
    """Guards against a change for deployments that didn't ask for it."""
    async with platform_site.connected_site(1, 2) as running:
        load, sending = await overload(running)
        await platform_site.until(lambda: next(load.numbers) > 2 * RATE)
        load.is_over = True
        await sending
        counts = [one.admission_counts for one in running.instances]
        assert sum(one.refused_at_once + one.promised for one in counts) == 0
        for one in load.tasks:
            one.cancel()
        await asyncio.gather(*load.tasks, return_exceptions=True)
