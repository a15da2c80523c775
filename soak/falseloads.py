"""Servers that state their load falsely, or not at all, in turn."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from tests import platform_site

from soak import callers, deployment, disturbances, injector, standstills
from tealcove import clock, ids, tasks
from tealcove.standins import pool_load, poolserver

SEED_BITS = 64
CALL_SECONDS = 0.4
# The goal of calls: in a slow moment they take twice as long.
GOAL_SECONDS = 1.0
SLOW_FACTOR = 2.0
SLOW_SECONDS = 0.6
# Mean seconds between two slow moments, of any server: four are slow a tenth of the
# time.
MEAN_CALM_SECONDS = 0.9
# Part of the servers' capacity that callers ask for. With the slow moments it is 0.83;
# without one of four servers, calls would be too many.
DEMAND = 0.75
# Seconds without statements at the beginning, of which the first aren't judged.
CALM_SECONDS = 6.0
WARM_UP_SECONDS = 2.0
# Mean seconds between the starts of two false statements; they overlap.
MEAN_PAUSE_SECONDS = 0.5
# The least share of calls in time, relative to that without statements. Callers retry
# once: if nine of ten are served, one of a hundred fails.
MIN_SHARE = 0.9
# Fewer calls aren't judged.
MIN_CALLS = 50
# The least runs of a server that always says that it is full or slow, relative to the
# mean of the others. Callers need 3.3 of four servers; if the two others are full, each
# of these two must do 0.65 of their work.
MIN_PART = 0.65
SETTINGS = {"server_load": {"enabled": True}}


class FalseLoad(enum.Enum):
    """What a server says of its load; constant values are those of the header."""

    FULL = f"{poolserver.SLOTS},{poolserver.SLOTS},{poolserver.SLOTS},100"
    SLOW = f"2,0,{poolserver.SLOTS},900"
    IDLE = f"0,0,{poolserver.SLOTS},20"
    INVERTED = "inverted"
    LATE = "late"


STATINGS = {
    FalseLoad.INVERTED: pool_load.Stating.FALSELY,
    FalseLoad.LATE: pool_load.Stating.LATE,
}
# How many servers state something false for the whole time: one that is idle, and two
# that seem unfit to run requests, of which one is full.
LASTING = 3
UNFIT = (FalseLoad.FULL, FalseLoad.SLOW)


class Counts(msgspec.Struct, frozen=True):
    """Calls without statements and beside false ones, and runs of unfit servers."""

    sent_before: int = 0
    in_time_before: int = 0
    sent: int = 0
    in_time: int = 0
    # Least runs of a server that seems unfit, and the mean of those that don't.
    unfit_runs: int = 0
    mean_runs: float = 0.0
    # Requests that were sent to servers without a free slot.
    overfilled: int = 0


def make_slow(running: deployment.Deployment) -> None:
    """Declare slow calls with a goal, in a deployment that isn't started."""
    goal_ms = int(GOAL_SECONDS * platform_site.MILLISECONDS)
    running.routes = (platform_site.route("safe", "safe", goal_ms=goal_ms),)
    for server in running.servers:
        server.call_seconds = CALL_SECONDS
        server.room = poolserver.SLOTS
    for member in running.members:
        member.more_settings = SETTINGS


def tell(server: poolserver.PoolServer, load: FalseLoad | None) -> None:
    """Let a server state something false, or nothing."""
    stating = pool_load.Stating.NOT
    if load is not None:
        stating = STATINGS.get(load, pool_load.Stating.CONSTANTLY)
        server.load.constant = load.value
    server.load.stating = stating


class FalseStatements(injector.Injector):
    """Lets two servers seem unfit and one idle all the time, and others in turn."""

    def __init__(self, context: injector.Context) -> None:
        super().__init__(context)
        self.false_servers: set[str] = set()
        # How many false statements were begun, besides the lasting ones.
        self.count = 0
        self.warm_at = self.began = self.ended = ids.Instant(0.0)
        self.unfit: list[poolserver.PoolServer] = []
        self.slowing: asyncio.Task[None] | None = None

    async def begin(self) -> str:
        """Wait without statements, then let some servers state false loads."""
        # Drawn apart: the timing of slow moments must not change later statements.
        source = random.Random(self.random.getrandbits(SEED_BITS))
        self.slowing = tasks.start(self.slow_servers(source), "slow moments")
        self.warm_at = ids.Instant(clock.now() + WARM_UP_SECONDS)
        await asyncio.sleep(CALM_SECONDS)
        # One server that seems full could be left out without harm in calm moments.
        count = min(LASTING, len(self.running.servers))
        idle, *self.unfit = self.random.sample(self.running.servers, count)
        tell(idle, FalseLoad.IDLE)
        loads = [FalseLoad.FULL, self.random.choice(UNFIT)]
        for server, load in zip(self.unfit, loads, strict=False):
            tell(server, load)
        self.false_servers |= {idle.name, *(server.name for server in self.unfit)}
        self.began = clock.now()
        said = ", ".join(
            f"{s.name} {x.name}" for s, x in zip(self.unfit, loads, strict=False)
        )
        return f"always: {idle.name} IDLE, {said}"

    async def end(self) -> None:
        """End the slow moments; the lasting false statements go on."""
        self.ended = clock.now()
        if self.slowing is not None:
            await tasks.stop([self.slowing])
            for server in self.running.servers:
                server.load.time_factor = 1.0

    async def slow_servers(self, source: random.Random) -> None:
        """Let one server after the other be slow for a moment, until cancelled."""
        while True:
            await asyncio.sleep(source.uniform(0.0, 2 * MEAN_CALM_SECONDS))
            load = source.choice(self.running.servers).load
            load.time_factor = SLOW_FACTOR
            await asyncio.sleep(SLOW_SECONDS)
            load.time_factor = 1.0

    @contextlib.asynccontextmanager
    async def state_falsely(self) -> AsyncIterator[str]:
        """Let one of the other servers state something false for a while."""
        load = self.random.choice(list(FalseLoad))
        free = [s for s in self.running.servers if s.name not in self.false_servers]
        if not free:
            yield "nothing"
            return
        server = free[self.count % len(free)]
        self.count += 1
        self.false_servers.add(server.name)
        tell(server, load)
        yield f"{server.name} says {load.name}"
        tell(server, None)
        self.false_servers.discard(server.name)


class LoadCallers(callers.Callers):
    """Callers that ask for a part of the servers' capacity."""

    default_paths = ("/safe/x",)

    async def run(self) -> None:
        """Send requests without waiting for answers, until `is_stopping` is set."""
        slots = len(self.running.servers) * poolserver.SLOTS
        rate = DEMAND * slots / CALL_SECONDS
        async with (
            aiohttp.ClientSession(timeout=callers.TIMEOUT) as session,
            asyncio.TaskGroup() as group,
        ):
            while not self.is_stopping:
                group.create_task(self.try_once(session, self.paths[0]))
                await asyncio.sleep(self.random.expovariate(rate))


def count(
    running: deployment.Deployment,
    stating: FalseStatements,
    ended: list[callers.CallResult],
) -> Counts:
    """Count what callers and servers have seen while no instance stood still."""
    standstills.record(running, stating.disturbances)
    parts = [disturbances.process_of(member.name) for member in running.members]
    judged = [
        one
        for one in ended
        if stating.disturbances.is_undisturbed_between(
            ids.Instant(one.sent_at - disturbances.SETTLE_SECONDS), one.ended_at, *parts
        )
    ]
    before = [one for one in judged if stating.warm_at <= one.sent_at < stating.began]
    beside = [one for one in judged if stating.began <= one.sent_at < stating.ended]
    runs = {
        server.name: sum(
            stating.began <= run.arrived_at < stating.ended for run in server.runs
        )
        for server in running.servers
    }
    unfit = min(runs.pop(server.name) for server in stating.unfit)
    return Counts(
        sent_before=len(before),
        in_time_before=sum(map(is_in_time, before)),
        sent=len(beside),
        in_time=sum(map(is_in_time, beside)),
        unfit_runs=unfit,
        mean_runs=sum(runs.values()) / len(runs),
        overfilled=sum(
            rejection.arrived_at >= stating.began
            and stating.disturbances.is_undisturbed(rejection.arrived_at, *parts)
            for server in running.servers
            for rejection in server.rejections
        ),
    )


def is_in_time(one: callers.CallResult) -> bool:
    """Tell whether a call was served within its goal."""
    is_served = one.answer.status == deployment.HTTP_OK
    return is_served and one.ended_at - one.sent_at <= GOAL_SECONDS


def violations(found: Counts) -> list[str]:
    """Return what false statements changed for callers and servers."""
    broken = []
    if min(found.sent_before, found.sent) >= MIN_CALLS:
        before = found.in_time_before / found.sent_before
        beside = found.in_time / found.sent
        if beside < MIN_SHARE * before:
            broken.append(f"{beside:.2f} in time, {before:.2f} without statements")
    if found.unfit_runs < MIN_PART * found.mean_runs:
        broken.append(
            f"{found.unfit_runs} runs of a server that seems unfit, "
            f"{found.mean_runs:.0f} of others"
        )
    if found.overfilled:
        broken.append(f"{found.overfilled} requests to servers without a free slot")
    return broken
