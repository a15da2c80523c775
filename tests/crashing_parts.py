"""A site whose servers crash on one part of prompts, and the callers of it."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Iterable

import msgspec

from tealcove import clock, ids
from tealcove.front import instance
from tealcove.platform import names
from tealcove.standins import poolserver
from tests import platform_site

# Seconds within which instances learn of each other's findings, as the target states
# them for these small sites.
CONTACT_SECONDS = 1.0
# Requests with the part that may reach servers from then on.
ALLOWED_ARRIVALS = 3
# The crash after which the target counts.
LIMITING_CRASH = 5
# The least share of sound requests that must be served, and how many must have come.
LEAST_SHARE = 0.6
LEAST_REQUESTS = 20
SERVERS = 8
INSTANCES = 4
# Seconds from a crash until a new incarnation serves, and from a request to its answer.
AWAY_SECONDS = 1.5
PREFILL_SECONDS = 0.04
# Seconds between two sound requests.
SOUND_INTERVAL = 0.04
# Seconds of sound traffic before the first request with the part.
WARM_UP_SECONDS = 1.5
BAD = "bad0bad0"
COMMON = "c0ffee01"
OTHERS = ("aaaa0001", "aaaa0002", "aaaa0003")


class Sent(msgspec.Struct, frozen=True):
    """A sound request, and whether it was served whole."""

    at: ids.Instant
    is_served: bool


class CrashingSite:
    """Runs the callers, and replaces each crashed server by a new incarnation."""

    def __init__(
        self, site: platform_site.Site, seed: int, away: float | None = AWAY_SECONDS
    ) -> None:
        self.site = site
        self.random = random.Random(seed)
        # None: crashed servers stay away; 0: they are back at once, at their addresses.
        self.away = away
        self.parts = frozenset((BAD,))
        # Every server there ever was.
        self.servers: list[poolserver.PoolServer] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.numbers = 0
        self.sound: list[Sent] = []
        for server in site.servers:
            self.adopt(server)
        self.watcher = asyncio.create_task(self.watch())

    def adopt(self, server: poolserver.PoolServer) -> None:
        """Let a server crash on the part."""
        server.crashing_parts = self.parts
        server.restarts_at_once = self.away == 0.0
        server.prefill_seconds = PREFILL_SECONDS
        self.servers.append(server)

    async def watch(self) -> None:
        """Replace servers that have crashed, until cancelled."""
        seen: set[str] = set()
        listed = {server: server.name for server in self.servers}
        while True:
            for server in list(self.servers):
                if server.is_down and server.name not in seen:
                    seen.add(server.name)
                    if self.away is not None:
                        self.tasks.append(asyncio.create_task(self.replace(server)))
                elif listed.setdefault(server, server.name) != server.name:
                    await self.list_again(server, listed[server])
                    listed[server] = server.name
            await asyncio.sleep(platform_site.POLL_SECONDS)

    async def list_again(self, server: poolserver.PoolServer, before: str) -> None:
        """List a server under the name of its new incarnation."""
        await self.site.write(names.SERVERS_TABLE, before, None)
        await self.site.write(names.SERVERS_TABLE, server.name, server.entry())

    async def replace(self, server: poolserver.PoolServer) -> None:
        """Start a new incarnation of a server that has crashed."""
        await asyncio.sleep(self.away)
        await self.site.write(names.SERVERS_TABLE, server.name, None)
        self.adopt(await self.site.add_server(f"{server.name}+"))

    async def replace_instances(self, share: float) -> None:
        """End a share of the instances at once, and start as many new ones."""
        count = int(share * len(self.site.instances))
        for one in self.site.instances[-count:]:
            await self.site.end(one)
        for _ in range(count):
            await self.site.add_instance()

    async def crash_others(self, times: int, count: int, pause: float) -> None:
        """Crash so many servers at once, whatever they run, every so often."""
        for _ in range(times):
            alive = [server for server in self.servers if not server.is_down]
            for server in alive[:count]:
                await server.crash()
            await asyncio.sleep(pause)

    def convicted(self) -> set[str]:
        """Return the parts that some instance refuses."""
        now = clock.now()
        ledgers = [one.quarantine.parts for one in self.site.instances]
        return {p for one in ledgers for p in one.records if one.is_convicted(p, now)}

    async def send(
        self, parts: Iterable[str], path: str, at: instance.Instance | None = None
    ) -> platform_site.Answer:
        """Send a request that shares these parts, and nothing else."""
        self.numbers += 1
        own = f"{self.random.getrandbits(32):08x}"
        prefix = ",".join(f"{part}:80" for part in (*parts, own))
        if at is None and not self.site.instances:
            return platform_site.Answer(None, b"", False)
        return await self.site.send(
            f"/{path}/{self.numbers}",
            at or self.random.choice(self.site.instances),
            str(self.numbers).encode(),
            Tealcove_Prefix_Hash=prefix,
            Tealcove_Token_Count="240,20",
        )

    async def send_bad(
        self, seconds: float, interval: float, before: Iterable[str], path: str
    ) -> None:
        """Send requests with the part for a while, without waiting for answers."""
        end = clock.now() + seconds
        while clock.now() < end:
            parts = (*before, BAD, self.random.choice(OTHERS))
            self.tasks.append(asyncio.create_task(self.send(parts, path)))
            await asyncio.sleep(interval)

    async def send_sound(self, seconds: float, parts: Iterable[str], path: str) -> None:
        """Send sound requests with the other parts for a while."""
        end = clock.now() + seconds
        while clock.now() < end:
            self.tasks.append(asyncio.create_task(self.send_one_sound(parts, path)))
            await asyncio.sleep(SOUND_INTERVAL)

    async def send_one_sound(self, parts: Iterable[str], path: str) -> None:
        """Send a sound request and record whether it is served."""
        at = clock.now()
        answer = await self.send((*parts, self.random.choice(OTHERS)), path)
        self.sound.append(Sent(at, answer.status == 200 and answer.is_complete))

    async def warm_up(self, path: str = "stream") -> None:
        """Serve sound requests for a while before anything crashes."""
        await self.send_sound(WARM_UP_SECONDS, (COMMON,), path)
        await self.finish()
        self.sound.clear()

    async def play(
        self,
        seconds: float = 9.0,
        interval: float = 0.1,
        before: Iterable[str] = (COMMON,),
        path: str = "stream",
    ) -> None:
        """Send both kinds of requests at once until all are answered."""
        await asyncio.gather(
            self.send_bad(seconds, interval, before, path),
            self.send_sound(seconds, (COMMON,), path),
        )
        await self.finish()

    async def finish(self) -> None:
        """Wait for all answers and new incarnations."""
        await asyncio.gather(*self.tasks)
        self.tasks.clear()

    def crashes(self) -> list[ids.Instant]:
        """Return when servers crashed, in order."""
        return sorted(at for one in self.servers for at in one.crash_times)

    def arrivals(self) -> list[ids.Instant]:
        """Return when requests with the part reached servers, in order."""
        return sorted(at for one in self.servers for at in one.crashing_arrivals)

    def late_arrivals(self) -> int:
        """Count the requests with the part that reached servers too late."""
        crashes = self.crashes()
        if len(crashes) < LIMITING_CRASH:
            return 0
        since = crashes[LIMITING_CRASH - 1] + CONTACT_SECONDS
        return sum(at > since for at in self.arrivals())

    def sound_later(self) -> list[Sent]:
        """Return the sound requests sent once the part should have been found."""
        crashes = self.crashes()[:LIMITING_CRASH]
        since = crashes[-1] + 2 * CONTACT_SECONDS if crashes else 0.0
        return [one for one in self.sound if one.at > since]

    def check(self) -> None:
        """Check both sides of the target."""
        assert self.late_arrivals() <= ALLOWED_ARRIVALS
        self.check_sound()

    def check_sound(self) -> None:
        """Check that sound requests with the other parts are served."""
        later = self.sound_later()
        assert len(later) >= LEAST_REQUESTS
        assert sum(one.is_served for one in later) >= LEAST_SHARE * len(later)

    async def stop(self) -> None:
        """Stop replacing servers."""
        self.watcher.cancel()
        await asyncio.gather(self.watcher, return_exceptions=True)
        for task in self.tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def crashing_site(
    seed: int,
    servers: int = SERVERS,
    instances: int = INSTANCES,
    away: float | None = AWAY_SECONDS,
) -> AsyncIterator[CrashingSite]:
    """Run a site whose servers crash on the part."""
    async with platform_site.connected_site(servers, instances) as running:
        found = CrashingSite(running, seed, away)
        try:
            yield found
        finally:
            await found.stop()
