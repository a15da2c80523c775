"""Servers that crash on one part of prompts, and for other reasons beside it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from soak import callers, deployment, disturbances, injector
from tealcove import ids
from tealcove.platform import names
from tealcove.standins import poolserver

# Parts of prompts, and the shared ones of sound requests.
BAD, COMMON = "bad0", "c0"
OTHERS = ("aa01", "aa02", "aa03")
# Seconds within which instances learn of each other's findings.
CONTACT_SECONDS = 3.0
# The crash after which arrivals are counted, and how many are allowed.
LIMITING_CRASH = 5
ALLOWED_ARRIVALS = 3
# The least number of sound requests that are judged, and the least share served.
MIN_SOUND = 20
MIN_SHARE = 0.5
# Seconds between two requests with the part, at most.
MAX_INTERVAL = 0.3
# Seconds from a crash until a new incarnation serves.
MIN_AWAY, MAX_AWAY = 0.5, 2.0
PREFILL_SECONDS = 0.03
POLL_SECONDS = 0.02


def make_crashing(running: deployment.Deployment) -> None:
    """Let the servers of a deployment that isn't started crash on the part."""
    for server in running.servers:
        prepare(server)


def prepare(server: poolserver.PoolServer) -> None:
    """Let a server crash on the part."""
    server.crashing_parts = frozenset((BAD,))
    server.prefill_seconds = PREFILL_SECONDS


class PartCallers(callers.Callers):
    """Callers whose prompts have parts; a few of them have the part that crashes."""

    def __init__(
        self,
        running: deployment.Deployment,
        log: disturbances.DisturbanceLog,
        seed: int,
    ) -> None:
        super().__init__(running, log, seed)
        self.bad = callers.Callers(running, log, seed)
        self.bad.request_prefix = "bad"
        self.bad.more_headers = lambda: prefix(self.random, BAD)
        self.more_headers = lambda: prefix(self.random)

    @property
    def all_results(self) -> list[callers.CallResult]:
        """See Callers."""
        return [*self.results, *self.bad.results]

    async def run(self) -> None:
        """Run all callers until `is_stopping` is set."""
        await asyncio.gather(super().run(), self.run_bad())

    async def run_bad(self) -> None:
        """Send requests with the part every so often, without waiting for answers."""
        async with (
            aiohttp.ClientSession(timeout=callers.TIMEOUT) as session,
            asyncio.TaskGroup() as group,
        ):
            for number in itertools.count():
                if self.is_stopping:
                    return
                path = f"{self.random.choice(self.paths)}{number}"
                group.create_task(self.bad.try_once(session, path))
                await asyncio.sleep(self.random.uniform(0.0, MAX_INTERVAL))


def prefix(source: random.Random, *bad: str) -> dict[str, str]:
    """Return the header that lists the parts of a prompt."""
    own = f"{source.getrandbits(32):08x}"
    parts = (COMMON, *bad, source.choice(OTHERS), own)
    return {names.PREFIX_HASH: ",".join(f"{part}:50" for part in parts)}


class Crasher(injector.Injector):
    """Crashes servers for other reasons, and replaces all that have crashed."""

    async def run(self) -> None:
        """Replace crashed servers by new incarnations, until cancelled."""
        source = random.Random(self.random.getrandbits(32))
        seen: set[str] = set()
        async with asyncio.TaskGroup() as group:
            while True:
                for server in list(self.running.servers):
                    if server.is_down and server.name not in seen:
                        seen.add(server.name)
                        away = source.uniform(MIN_AWAY, MAX_AWAY)
                        group.create_task(self.replace(server, away))
                await asyncio.sleep(POLL_SECONDS)

    async def replace(self, server: poolserver.PoolServer, away: float) -> None:
        """Start a new incarnation of a server that has crashed."""
        await self.running.close(server)
        await asyncio.sleep(away)
        new = poolserver.PoolServer(f"{server.name}+", server.service)
        prepare(new)
        await self.running.list_server(server, None)
        await self.running.add(new)
        self.running.servers.append(new)

    @contextlib.asynccontextmanager
    async def crash(self) -> AsyncIterator[str]:
        """Crash one server, or several at once, whatever they run."""
        alive = [server for server in self.running.servers if not server.is_down]
        count = self.random.choice((1, 1, len(alive) // 2))
        chosen = self.random.sample(alive, min(count, len(alive)))
        for server in chosen:
            await server.crash()
            await self.running.close(server)
        yield f"crash of {len(chosen)}"


class Counts(msgspec.Struct, frozen=True):
    """What was seen of requests with the part, and of sound ones."""

    # Crashes by the part, and requests with it that reached servers; later than the
    # contact time after the fifth crash, those sent by undisturbed instances.
    crashes: int = 0
    arrivals: int = 0
    late: int = 0
    # Sound requests to undisturbed instances from twice that time on.
    sound: int = 0
    served: int = 0


def count(
    running: deployment.Deployment,
    log: disturbances.DisturbanceLog,
    calling: PartCallers,
) -> Counts:
    """Return what was seen of requests with the part, and of sound ones."""
    sent = {one.request_id: one for one in calling.bad.results}
    runs = [run for s in running.servers for run in s.runs if run.request_id in sent]
    crashes = sorted(
        min(s.crashing_arrivals) for s in running.servers if s.crashing_arrivals
    )
    if not crashes:
        return Counts()
    since = crashes[:LIMITING_CRASH][-1] + CONTACT_SECONDS
    late = [
        run
        for run in runs
        if len(crashes) >= LIMITING_CRASH
        and run.arrived_at > since
        and is_undisturbed(log, sent[run.request_id].member, run.arrived_at)
    ]
    sound = [
        one
        for one in calling.results
        if one.sent_at > since + CONTACT_SECONDS
        and one.resumes is None
        and is_undisturbed(log, one.member, one.sent_at)
    ]
    return Counts(
        crashes=len(crashes),
        arrivals=len(runs),
        late=len(late),
        sound=len(sound),
        served=sum(one.answer.status == deployment.HTTP_OK for one in sound),
    )


def is_undisturbed(
    log: disturbances.DisturbanceLog, member: str, at: ids.Instant
) -> bool:
    """Tell whether an instance and the store had been undisturbed for a while."""
    parts = (member, disturbances.process_of(member), disturbances.STORE)
    return log.is_undisturbed(at, *parts)


def violations(found: Counts) -> list[str]:
    """Return the violations that the counts show."""
    broken = []
    if found.late > ALLOWED_ARRIVALS:
        broken.append(f"{found.late} late requests with the part, {found.crashes} lost")
    if found.sound >= MIN_SOUND and found.served < MIN_SHARE * found.sound:
        broken.append(f"{found.served} of {found.sound} sound requests served")
    return broken
