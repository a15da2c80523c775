"""Instances on a stand-in of the users' platform, in the test process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections.abc import AsyncIterator, Callable

import aiohttp
import msgspec

from tealcove import clock, ids
from tealcove.front import instance, settings
from tealcove.membership import messages
from tealcove.platform import names
from tealcove.standins import platform, poolserver
from tealcove.storage import revisions
from tests import deployment

HOST = "callers.example"
KEY = "the-key"
ACCOUNT = "bakery"
TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.01
FIRST_PORT = 7000
MILLISECONDS = 1000
# The time within which callers want an answer.
GOAL_SECONDS = 0.5


def route(name: str, kind: str, **changes: object) -> dict[str, object]:
    """Return a route in the operator's format; its prefix is its name."""
    found = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 3000,
        "goal_ms": int(GOAL_SECONDS * MILLISECONDS),
        "priority": 0,
        "service": "pool",
        "attempts": 2,
    }
    return {**found, **changes}


ROUTES = (
    route("safe", "safe"),
    route("once", "unsafe", attempts=1),
    route("stream", "stream", resumable=True, gap_target_ms=250),
    route("stream/brief", "stream", attempts=1, timeout_ms=700),
)


def configuration(*routes: dict[str, object], **changes: object) -> bytes:
    """Return an operator's configuration."""
    found = {
        "version": 1,
        "routes": routes or ROUTES,
        "services": [{"name": "pool", "engine": {"stride": 4}}],
        "limits": {},
        "tenants": [{"name": ACCOUNT, "api_keys": [KEY], "unit": "token"}],
    }
    return msgspec.json.encode({**found, **changes})


async def until(check: Callable[[], bool]) -> None:
    """Wait until a check holds; the timeout far exceeds any normal wait."""
    deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
    while not check():
        assert asyncio.get_running_loop().time() < deadline
        await asyncio.sleep(POLL_SECONDS)


class Answer(msgspec.Struct, frozen=True):
    """The answer to a caller; its status is None if the connection broke first."""

    status: int | None
    body: bytes
    is_complete: bool
    headers: dict[str, str] = {}
    # Whether no connection was made.
    is_unreached: bool = False


class Call(msgspec.Struct, frozen=True):
    """A caller's request to an instance, and what came of it."""

    request_id: str
    instance: str
    sent_at: ids.Instant
    ended_at: ids.Instant
    answer: Answer


class Site:
    """The store, backend servers and instances of one deployment."""

    def __init__(
        self, era: int | None = None, data_centres: int = 1, **changes: object
    ) -> None:
        # Settings of all instances that differ from the defaults.
        self.changes = changes
        self.store = platform.PlatformStandin(platform.PlatformSettings(era=era))
        self.era = ids.NO_ERA if era is None else ids.Era(era)
        self.servers: list[poolserver.PoolServer] = []
        self.instances: list[instance.Instance] = []
        self.session: aiohttp.ClientSession | None = None
        self.requests = 0
        # Instances are spread over so many data centres.
        self.data_centres = data_centres
        # Whether instances that are added take operators' orders.
        self.takes_orders = False
        # Each site has its own loopback network, so that concurrent sites can't
        # use the same port.
        self.network, self.network_socket = deployment.reserve_network()

    async def add_server(self, name: str, version: str = "v1") -> poolserver.PoolServer:
        """Start a backend server and write its entry to the store."""
        server = poolserver.PoolServer(name, "pool")
        server.version = version
        await server.start()
        self.servers.append(server)
        await self.write(names.SERVERS_TABLE, name, server.entry())
        return server

    async def add_instance(self, is_isolated: bool = False) -> instance.Instance:
        """Start an instance; unless isolated, it gets seeds and is waited for."""
        number = len(self.instances)
        host = f"{self.network}.{number + 1}"
        listen = settings.Listen(
            *(f"{host}:{port}" for port in range(FIRST_PORT, FIRST_PORT + 4)),
            relay_port=FIRST_PORT + 4,
            admin_port=self.free_port() if self.takes_orders else 0,
        )
        seeds = tuple(one.settings.listen.peers for one in self.instances)
        seeds = () if is_isolated else seeds
        found = settings.FrontSettings(
            instance=f"i-{number}",
            data_centre=f"dc-{number % self.data_centres + 1}",
            listen=listen,
            store=settings.Store(f"127.0.0.1:{self.store.port}"),
            seeds=seeds,
            rollouts=settings.Rollouts(enabled=True),
            **self.changes,
        )
        started = await instance.start(found)
        # A process holds back retries for one window after its start.
        retries = started.ingress.services.budget
        retries.started -= retries.allowance.window
        self.instances.append(started)
        if not is_isolated:
            await until(lambda: is_serving(started))
        return started

    def free_port(self) -> int:
        """Return a free port of the loopback interface, for operators' commands."""
        with socket.socket() as reserved:
            reserved.bind(("127.0.0.1", 0))
            return reserved.getsockname()[1]

    async def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row on behalf of the operator or a backend server."""
        await self.store.put_row(table, key, value)

    async def declare(self, content: bytes) -> None:
        """Write a configuration and wait until it is in force on all instances."""
        await self.write(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, content)
        table = self.store.memory.table
        version = revisions.revision_of(self.era, table.last_version)
        await until(
            lambda: all(i.configuration.revision >= version for i in self.instances)
        )

    async def send(
        self,
        path: str,
        at: instance.Instance | None = None,
        body: bytes = b"x",
        **headers: str,
    ) -> Answer:
        """Send a caller's request."""
        self.requests += 1
        chosen = at or self.instances[0]
        sent = {
            "Host": HOST,
            names.REQUEST_ID: f"r-{self.requests}",
            names.API_KEY: KEY,
            names.DEADLINE_MS: "2500",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = f"http://{chosen.settings.listen.callers}{path}"
        try:
            async with self.session.post(url, headers=sent, data=body) as response:
                return await read(response)
        except aiohttp.ClientError:
            return Answer(None, b"", False)

    async def call(self, path: str, at: instance.Instance) -> Call:
        """Send a caller's request, and return it with its answer."""
        sent_at = clock.now()
        request_id = f"r-{self.requests + 1}"
        answer = await self.send(path, at)
        return Call(request_id, at.settings.instance, sent_at, clock.now(), answer)

    async def call_until(
        self, done: Callable[[list[Call]], bool], callers: int, route: str = "safe"
    ) -> list[Call]:
        """Let callers send requests to all instances in turn until a check holds.

        The check gets the calls that have ended, in order.
        """
        ended: list[Call] = []
        numbers = itertools.count()
        deadline = clock.now() + TIMEOUT_SECONDS

        async def run() -> None:
            while not done(ended):
                assert clock.now() < deadline
                number = next(numbers)
                at = self.instances[number % len(self.instances)]
                ended.append(await self.call(f"/{route}/{number}", at))

        await asyncio.gather(*(run() for _ in range(callers)))
        return ended

    async def end(self, one: instance.Instance) -> None:
        """Stop an instance, as at the end of its process."""
        self.instances.remove(one)
        await one.stop()

    async def stop(self) -> None:
        """Stop all parts of the site."""
        await self.session.close()
        for one in self.instances:
            await one.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        self.network_socket.close()


async def read(response: aiohttp.ClientResponse) -> Answer:
    """Read an answer to its end, or until the connection breaks."""
    body = b""
    try:
        async for part in response.content.iter_any():
            body += part
    except aiohttp.ClientError:
        return Answer(response.status, body, False, dict(response.headers))
    return Answer(response.status, body, True, dict(response.headers))


def is_serving(one: instance.Instance) -> bool:
    """Tell whether an instance accepts requests and knows a backend server."""
    lifecycle = one.members.own.lifecycle
    return lifecycle is messages.Lifecycle.SERVING and bool(one.servers.known)


@contextlib.asynccontextmanager
async def site(
    servers: int = 2,
    instances: int = 1,
    era: int | None = None,
    data_centres: int = 1,
    **changes: object,
) -> AsyncIterator[Site]:
    """Run a site and stop it at the end; `changes` are settings of its instances."""
    running = Site(era, data_centres, **changes)
    running.session = aiohttp.ClientSession()
    await running.store.start()
    try:
        for number in range(servers):
            await running.add_server(f"s-{number}")
        await running.write(
            names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration()
        )
        for _ in range(instances):
            await running.add_instance()
        await until(
            lambda: all(
                len(i.members.peers) == instances - 1 for i in running.instances
            )
        )
        yield running
    finally:
        await running.stop()


@contextlib.asynccontextmanager
async def connected_site(
    servers: int,
    instances: int,
    era: int | None = None,
    data_centres: int = 1,
    **changes: object,
) -> AsyncIterator[Site]:
    """Run a site whose instances know each other."""
    async with site(servers, instances, era, data_centres, **changes) as running:
        await until(
            lambda: all(
                len(one.members.serving(clock.now())) == instances
                for one in running.instances
            )
        )
        yield running
