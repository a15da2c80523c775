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
from tests import platform_site

CALL_SECONDS = 0.4
GOAL_MS = 1000
TIMEOUT_MS = 9000
DEADLINE_SECONDS = 6.0
# Requests a second: two servers with four slots each complete 20.
RATE = 40.0
RETURNS = 4
OVERLOAD_STATUS = 503


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

    async def run(self) -> None:
        """Start requests at all instances in turn until the overload is over."""
        while not self.is_over:
            number = next(self.numbers)
            self.tasks.append(asyncio.create_task(self.call(number)))
            await asyncio.sleep(1.0 / RATE)

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
        answer = await self.send(path, self.instance(number + 1), left)
        returned.status = answer.status

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


def admitting(servers: int, instances: int):
    """Run a site that refuses early."""
    return platform_site.connected_site(
        servers, instances, admission=settings.Admission(enabled=True)
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

        def open_returns() -> list[Return]:
            return [one for one in load.returns if one.status is None]

        await platform_site.until(
            lambda: len(load.returns) >= RETURNS and len(open_returns()) >= 2
        )
        (dispatcher,) = [one for one in running.instances if one.dispatcher.held]
        promised = open_returns()
        await running.end(dispatcher)
        await platform_site.until(
            lambda: all(one.status is not None for one in promised)
        )
        load.is_over = True
        await sending
        await load.end()
        assert [one.status for one in promised] == [200] * len(promised)


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
