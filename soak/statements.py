"""Lets backend servers state limits, their leaving, and that they want rest."""

from __future__ import annotations

import asyncio
import random

import msgspec

from soak import deployment
from tealcove import clock, ids
from tealcove.standins import poolserver

# Seconds for which a server names a limit, the mean pause until the next one does, and
# the least and the largest limit in requests a second.
LIMITED_SECONDS = 8.0
LIMIT_PAUSE_SECONDS = 1.5
MIN_LIMIT, MAX_LIMIT = 0.5, 5.0
# Seconds for which a server says that it leaves, before it starts again, and the mean
# pause until the next one does.
LEAVING_SECONDS = 5.0
LEAVING_PAUSE_SECONDS = 1.0
# Seconds for which a server rejects all requests, the mean pause until the next one
# does, and the least and the longest rest that it asks for.
REJECTING_SECONDS = 2.5
REST_PAUSE_SECONDS = 1.0
MIN_REST, MAX_REST = 0.6, 4.0


class Limited(msgspec.Struct, frozen=True):
    """The period in which a server named a limit, in requests a second."""

    server: str
    rate: float
    since: ids.Instant
    until: ids.Instant


class StatedLeave(msgspec.Struct, frozen=True):
    """The period in which a start of a server said that it leaves."""

    server: str
    born: int
    since: ids.Instant
    until: ids.Instant


class Rest(msgspec.Struct, frozen=True):
    """The period in which a server rejected requests, to rest for some seconds."""

    server: str
    seconds: float
    since: ids.Instant
    until: ids.Instant


class StatementInjector:
    """Lets one server after the other state something; `done` lists what."""

    def __init__(
        self, running: deployment.Deployment, seed: int, done: list[str]
    ) -> None:
        self.running = running
        self.done = done
        self.limits: list[Limited] = []
        self.leaves: list[StatedLeave] = []
        self.rests: list[Rest] = []
        # Drawn apart, so that a seed goes on drawing the same of the other kinds.
        self.limit_random = random.Random(f"limits of {seed}")
        self.leave_random = random.Random(f"leaves of {seed}")
        self.rest_random = random.Random(f"rests of {seed}")

    async def run(self) -> None:
        """Let servers state something until cancelled."""
        await asyncio.gather(
            self.limit_servers(), self.servers_leave(), self.servers_rest()
        )

    async def next_server(
        self, drawn: random.Random, mean_pause: float
    ) -> poolserver.PoolServer:
        """Wait for a random pause and return a random server."""
        await asyncio.sleep(drawn.uniform(0.0, 2 * mean_pause))
        return drawn.choice(self.running.servers)

    async def limit_servers(self) -> None:
        """Let one server after the other name a limit."""
        while True:
            server = await self.next_server(self.limit_random, LIMIT_PAUSE_SECONDS)
            rate = round(self.limit_random.uniform(MIN_LIMIT, MAX_LIMIT), 1)
            server.limit = str(rate)
            since = clock.now()
            self.done.append(f"{server.name} names a limit of {rate}")
            try:
                await asyncio.sleep(LIMITED_SECONDS)
            finally:
                server.limit = None
                self.limits.append(Limited(server.name, rate, since, clock.now()))

    async def servers_leave(self) -> None:
        """Let one server after the other say that it leaves; its row doesn't."""
        while True:
            server = await self.next_server(self.leave_random, LEAVING_PAUSE_SECONDS)
            server.leaving = "1"
            since = clock.now()
            self.done.append(f"{server.name} says that it leaves")
            try:
                await asyncio.sleep(LEAVING_SECONDS)
            finally:
                server.leaving = None
                now = clock.now()
                self.leaves.append(StatedLeave(server.name, server.born, since, now))
                # The next start is another server under the same name.
                server.born += 1
                await self.running.list_server(server, self.running.states[server.name])

    async def servers_rest(self) -> None:
        """Let one server after the other reject all requests and ask for rest."""
        while True:
            server = await self.next_server(self.rest_random, REST_PAUSE_SECONDS)
            seconds = round(self.rest_random.uniform(MIN_REST, MAX_REST), 1)
            server.rest = str(seconds)
            since = clock.now()
            self.done.append(f"{server.name} wants {seconds} s of rest")
            try:
                await asyncio.sleep(REJECTING_SECONDS)
            finally:
                server.rest = None
                self.rests.append(Rest(server.name, seconds, since, clock.now()))
