"""Servers of several software versions; a stream must stay at the one that began it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from soak import callers, deployment, disturbances, injector
from tealcove.standins import poolserver

# Streams that each server cuts in one go, at most.
MAX_CUTS = 6
# Seconds for which a server that is replaced serves on, and those until its end after
# its row is gone.
LEAVING_SECONDS = 1.5
ENDING_SECONDS = 1.0
# The least number of streams that are judged by how many went on.
MIN_TAKEN_UP = 12
MIN_SHARE = 0.5
# Servers of a version beside which its streams must go on.
MIN_SERVERS = 2
GONE = "version_gone"
UNKNOWN = "version_unknown"


def mix(found: deployment.Deployment) -> None:
    """Give the servers of a deployment that isn't started two versions."""
    for number, server in enumerate(found.servers):
        server.version = callers.VERSIONS[number % 2]


class VersionChanger(injector.Injector):
    """Cuts streams, replaces servers by others, and kills instances together."""

    def __init__(self, context: injector.Context) -> None:
        super().__init__(context)
        self.started = 0

    @contextlib.asynccontextmanager
    async def cut_streams(self) -> AsyncIterator[str]:
        """Let each server cut its next streams in their middle."""
        count = self.random.randrange(1, MAX_CUTS + 1)
        for server in self.running.servers:
            server.faults.extend([poolserver.Fault.CUT_EARLY] * count)
        yield f"{count} streams of each server are cut"

    @contextlib.asynccontextmanager
    async def replace_server(self) -> AsyncIterator[str]:
        """Start a server of some version in place of another one, which leaves."""
        ready = [s for s in self.running.servers if self.is_ready(s)]
        old, version = self.random.choice(ready), self.random.choice(callers.VERSIONS)
        self.started += 1
        new = poolserver.PoolServer(f"new-{self.started}", old.service)
        new.version = version
        await self.running.add(new)
        self.running.servers.append(new)
        if self.is_ready(old):
            await self.running.list_server(old, "draining")
            await asyncio.sleep(LEAVING_SECONDS)
            await self.running.list_server(old, None)
        yield f"{old.name} of {old.version} replaced by {new.name} of {version}"
        await asyncio.sleep(ENDING_SECONDS)
        await old.stop()

    def is_ready(self, server: poolserver.PoolServer) -> bool:
        """Tell whether a server's row says that it serves."""
        return self.running.states[server.name] == "ready"

    @contextlib.asynccontextmanager
    async def kill_all(self) -> AsyncIterator[str]:
        """Kill all instances at once and start them again."""
        async with self.killed(self.running.members) as what:
            yield what

    @contextlib.asynccontextmanager
    async def kill_several(self) -> AsyncIterator[str]:
        """Kill some instances at once and start them again."""
        count = self.random.randrange(1, len(self.running.members))
        chosen = self.random.sample(self.running.members, count)
        async with self.killed(chosen) as what:
            yield what

    @contextlib.asynccontextmanager
    async def killed(self, chosen: list[deployment.Member]) -> AsyncIterator[str]:
        """Kill instances that aren't being ended already."""
        members = [member for member in chosen if not member.is_stopping]
        parts = [member.name for member in members]
        parts.extend(disturbances.process_of(name) for name in list(parts))
        for member in members:
            member.is_stopping = True
        with self.disturbances.disturbed(*parts):
            await asyncio.gather(*(member.end() for member in members))
            yield f"kill {len(members)} together"
            await asyncio.gather(*(member.start() for member in members))


class TakenUp(msgspec.Struct, frozen=True):
    """What became of streams that callers took up at undisturbed instances."""

    sent: int
    went_on: int
    # Refused since nobody knew their version, or none of its servers was left; at
    # any instance.
    unknown: int
    gone: int


def taken_up(
    log: disturbances.DisturbanceLog, ended: list[callers.CallResult]
) -> TakenUp:
    """Return what became of the streams that were taken up."""
    resumed = [one for one in ended if one.resumes is not None]
    judged = [
        one
        for one in resumed
        if one.version_servers >= MIN_SERVERS and is_undisturbed(log, one)
    ]
    return TakenUp(
        sent=len(judged),
        went_on=sum(has_events(one) for one in judged),
        unknown=sum(callers.reason_of(one.answer) == UNKNOWN for one in resumed),
        gone=sum(callers.reason_of(one.answer) == GONE for one in resumed),
    )


def lost_streams(
    log: disturbances.DisturbanceLog, ended: list[callers.CallResult]
) -> list[str]:
    """Return a violation if too few streams went on that were taken up."""
    found = taken_up(log, ended)
    new = [
        one
        for one in ended
        if callers.is_stream(one.path)
        and one.resumes is None
        and is_undisturbed(log, one)
    ]
    if found.sent < MIN_TAKEN_UP or not new:
        return []
    begun = sum(map(has_events, new)) / len(new)
    share = found.went_on / found.sent
    if share >= MIN_SHARE * begun:
        return []
    return [f"{found.went_on} of {found.sent} streams went on, {begun:.2f} of new ones"]


def is_undisturbed(log: disturbances.DisturbanceLog, one: callers.CallResult) -> bool:
    """Tell whether a request's instance and the store were undisturbed meanwhile."""
    parts = (one.member, disturbances.process_of(one.member), disturbances.STORE)
    since = one.sent_at - disturbances.SETTLE_SECONDS
    return log.is_undisturbed_between(since, one.ended_at, *parts)


def has_events(one: callers.CallResult) -> bool:
    """Tell whether a stream brought events."""
    return one.answer.status == deployment.HTTP_OK and bool(one.answer.body)
