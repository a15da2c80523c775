"""An account that floods servers, beside one that asks for little of them."""

from __future__ import annotations

import asyncio
import itertools
import random

import aiohttp
from tests import platform_site

from soak import callers, deployment, disturbances, faults
from tealcove import ids
from tealcove.standins import poolserver

FLOODING_ACCOUNT = "cannery"
FLOODING_KEY = "flooding-key"
CALL_SECONDS = 0.2
# The goal of calls. On a busy machine they take twice as long, and wait besides.
GOAL_MS = 1500
# Requests a second of the small account, and how many times the servers' capacity the
# other one asks for while it floods.
SMALL_RATE = 8.0
FLOOD_FACTOR = 2.0
# Seconds of a flood, and between two floods.
MIN_FLOOD, MAX_FLOOD = 2.0, 4.0
MIN_CALM, MAX_CALM = 0.5, 2.0
# The least share of the small account's requests that must be served.
MIN_SHARE = 0.9
# Fewer requests aren't judged.
MIN_REQUESTS = 20
# The settings of the parts that share and refuse.
SETTINGS = {
    "fair_accounts": {"enabled": True},
    "admission": {"enabled": True},
    "server_load": {"enabled": True},
}


def make_competing(running: deployment.Deployment) -> None:
    """Declare a second account and slow servers, in a deployment that isn't started."""
    own = {"name": platform_site.ACCOUNT, "api_keys": [platform_site.KEY]}
    other = {"name": FLOODING_ACCOUNT, "api_keys": [FLOODING_KEY]}
    running.accounts = [own, other]
    running.routes = (platform_site.route("safe", "safe", goal_ms=GOAL_MS),)
    for server in running.servers:
        server.call_seconds = CALL_SECONDS
    for member in running.members:
        member.more_settings = SETTINGS


class FloodCallers(callers.Callers):
    """Callers of two accounts; those of one send more than the servers can run."""

    def __init__(
        self,
        running: deployment.Deployment,
        log: disturbances.DisturbanceLog,
        seed: int,
    ) -> None:
        super().__init__(running, log, seed, ("/safe/x",))
        self.flood = callers.Callers(running, log, seed, self.paths)
        self.flood.request_prefix = "flood"
        self.flood.key_at = lambda member, now: FLOODING_KEY

    @property
    def all_results(self) -> list[callers.CallResult]:
        """See Callers."""
        return [*self.results, *self.flood.results]

    async def run(self) -> None:
        """Send the requests of both until `is_stopping` is set."""
        async with (
            aiohttp.ClientSession(timeout=callers.TIMEOUT) as session,
            asyncio.TaskGroup() as group,
        ):
            group.create_task(self.run_small(session, group))
            group.create_task(self.run_floods(session, group))

    async def run_small(
        self, session: aiohttp.ClientSession, group: asyncio.TaskGroup
    ) -> None:
        """Send the small account's requests, without waiting for answers."""
        while not self.is_stopping:
            group.create_task(self.try_once(session, self.paths[0]))
            await asyncio.sleep(self.random.expovariate(SMALL_RATE))

    async def run_floods(
        self, session: aiohttp.ClientSession, group: asyncio.TaskGroup
    ) -> None:
        """Send floods with pauses between them."""
        source = random.Random(self.random.getrandbits(32))
        slots = len(self.running.servers) * poolserver.SLOTS
        rate = FLOOD_FACTOR * slots / CALL_SECONDS
        loop = asyncio.get_running_loop()
        while not self.is_stopping:
            end = loop.time() + source.uniform(MIN_FLOOD, MAX_FLOOD)
            for number in itertools.count():
                if loop.time() >= end or self.is_stopping:
                    break
                path = f"{self.paths[0]}{number}"
                group.create_task(self.flood.try_once(session, path))
                await asyncio.sleep(source.expovariate(rate))
            await asyncio.sleep(source.uniform(MIN_CALM, MAX_CALM))


def unserved(
    running: deployment.Deployment,
    injector: faults.FaultInjector,
    calling: FloodCallers,
) -> tuple[int, list[str]]:
    """Return how many of the small account's requests were judged, and violations.

    Judged are those that were sent while all instances, the servers and the store had
    been undisturbed for a while, and that reached an instance: on a busy machine, a
    process takes seconds from its start until it listens.
    """
    parts = [disturbances.STORE, *(server.name for server in running.servers)]
    for member in running.members:
        parts += [member.name, disturbances.process_of(member.name)]
    judged = [
        one
        for one in calling.results
        if not one.answer.is_unreached
        and injector.disturbances.is_undisturbed(one.sent_at, *parts)
        and injector.disturbances.is_undisturbed_between(
            one.sent_at, ids.Instant(one.ended_at), *parts
        )
    ]
    served = sum(one.answer.status == deployment.HTTP_OK for one in judged)
    if len(judged) < MIN_REQUESTS or served >= MIN_SHARE * len(judged):
        return len(judged), []
    return len(judged), [f"{served} of {len(judged)} of the small account served"]
