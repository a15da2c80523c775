"""The deployment of a soak: instance processes, and stand-ins behind proxies."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import os
import pathlib
import random
import signal
import socket
import sys
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from tests import deployment as networks
from tests import platform_site

from soak import proxy
from tealcove import clock, ids
from tealcove.platform import names
from tealcove.standins import platform, poolserver
from tealcove.storage import memory

READY_SECONDS = 30.0
HTTP_OK = 200
LISTENERS = ("callers", "ready", "directory", "peers")
FIRST_PORT = 7000
RELAY_PORT = FIRST_PORT + len(LISTENERS)
GRACE_SECONDS = 3.0
FIRST_ERA = 1
# Maximum seconds from the store's return until what was lost is written again.
WRITE_AGAIN_SECONDS = 1.5


class Member:
    """An instance with its settings file, addresses and process."""

    def __init__(self, name: str, host: str, folder: pathlib.Path) -> None:
        self.name = name
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.listen = {
            key: f"{host}:{port}" for port, key in enumerate(LISTENERS, FIRST_PORT)
        }
        self.process: asyncio.subprocess.Process | None = None
        self.is_stopping = False
        # Settings besides those that all soaks have.
        self.more_settings: dict[str, object] = {}

    def write(self, store: str, seeds: list[str]) -> None:
        """Write the settings file."""
        found = {
            "instance": self.name,
            "data_centre": "dc-1",
            "listen": {**self.listen, "relay_port": RELAY_PORT},
            "store": {"address": store},
            "seeds": seeds,
            "leaving": {"directory_ttl_seconds": 0.3, "grace_seconds": GRACE_SECONDS},
            **self.more_settings,
        }
        self.path.write_bytes(msgspec.json.encode(found))

    async def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as sink:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "soak.member",
                "front",
                "--settings",
                str(self.path),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
                # A stopped process gets SIGHUP when its group loses the shell.
                process_group=0,
            )
        # Cleared only now: a fault during the creation of the process would end the
        # old one, and the new one would be left running and send heartbeats.
        self.is_stopping = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process, which the soak started."""
        if self.process is not None and self.process.returncode is None:
            # The process may just have been reaped, with its exit code not yet set.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def end(self) -> None:
        """Kill the process and wait until it has exited."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Deployment:
    """All parts of the deployment; use it as a context manager."""

    def __init__(self, folder: pathlib.Path, members: int, servers: int) -> None:
        self.store = platform.PlatformStandin(platform.PlatformSettings(era=FIRST_ERA))
        # Cleared while the store is away; the operator and the servers wait for it.
        self.store_is_back = asyncio.Event()
        self.store_is_back.set()
        # The operator writes one configuration after the other.
        self.declaring = asyncio.Lock()
        self.network, self.network_socket = networks.reserve_network()
        self.members = [
            Member(f"i-{n}", f"{self.network}.{n + 1}", folder) for n in range(members)
        ]
        self.servers = [poolserver.PoolServer(f"s-{n}", "pool") for n in range(servers)]
        self.store_proxies: list[proxy.Proxy] = []
        self.server_proxies: list[proxy.Proxy] = []
        # The proxy of each server and its address, by name.
        self.proxies: dict[str, proxy.Proxy] = {}
        self.addresses: dict[str, str] = {}
        # What the row of each server says, by name; None if it has none.
        self.states: dict[str, str | None] = {}
        # Milliseconds for which servers say that they are slow after their start.
        self.cold_left_ms = 0
        self.routes = platform_site.ROUTES
        # The declared client accounts; new keys are those of the first.
        self.accounts = [
            {
                "name": platform_site.ACCOUNT,
                "api_keys": [platform_site.KEY],
                "unit": "token",
            }
        ]
        # Declared keys besides the first, and the time at which the store had each.
        self.keys: list[str] = []
        self.declared: dict[str, ids.Instant] = {}

    async def __aenter__(self) -> Deployment:
        try:
            await self.start()
        except BaseException:
            # Leftover members would join the next deployment in this network.
            await self.stop()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start all parts and wait until callers can connect."""
        await self.store.start()
        await self.store.put_row(
            names.OPERATOR_TABLE,
            names.CONFIGURATION_KEY,
            platform_site.configuration(*self.routes, tenants=self.accounts),
        )
        for server in self.servers:
            await self.add(server)
        seeds = [member.listen["peers"] for member in self.members[:2]]
        for member in self.members:
            # Each instance has its own proxy to the store, so that one can be cut
            # off while the others are served.
            forwarder = proxy.Proxy("127.0.0.1", self.store.port)
            self.store_proxies.append(forwarder)
            member.write(await forwarder.start(), seeds)
            await member.start()
        await self.until_ready()

    async def stop(self) -> None:
        """Stop the members, then the stand-ins."""
        for member in self.members:
            await member.end()
        for forwarder in (*self.store_proxies, *self.server_proxies):
            await forwarder.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        self.network_socket.close()

    async def add(self, server: poolserver.PoolServer) -> None:
        """Start a backend server behind a proxy and write its row."""
        server.event_interval = 0.01
        await server.start()
        forwarder = proxy.Proxy("127.0.0.1", server.port)
        self.server_proxies.append(forwarder)
        self.addresses[server.name] = await forwarder.start()
        self.proxies[server.name] = forwarder
        await self.list_server(server, "ready")

    async def close(self, server: poolserver.PoolServer) -> None:
        """Refuse connections to a server that has crashed."""
        await self.proxies[server.name].stop()

    async def list_server(
        self, server: poolserver.PoolServer, state: str | None
    ) -> None:
        """Write a server's row, or delete it if `state` is None."""
        await self.store_is_back.wait()
        self.states[server.name] = state
        content = None
        if state is not None:
            entry = msgspec.json.decode(server.entry(state))
            entry["addr"] = self.addresses[server.name]
            entry["cold_left_ms"] = self.cold_left_ms
            content = msgspec.json.encode(entry)
        await self.store.put_row(names.SERVERS_TABLE, server.name, content)

    async def declare_key(self) -> str:
        """Write a configuration with an additional key; return the key."""
        async with self.declaring:
            await self.store_is_back.wait()
            key = f"key-{len(self.keys)}"
            self.keys.append(key)
            await self.write_configuration(self.keys)
            self.declared[key] = clock.now()
            return key

    async def write_configuration(self, keys: list[str]) -> None:
        """Write the configuration that adds the last of some keys."""
        own, *others = self.accounts
        own = {**own, "api_keys": [*own["api_keys"], *keys]}
        content = platform_site.configuration(
            *self.routes, version=len(keys) + 1, tenants=[own, *others]
        )
        await self.store.put_row(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, content)

    @contextlib.asynccontextmanager
    async def store_away(self, saved: memory.SavedTable) -> AsyncIterator[None]:
        """Take the store away, and bring it back from a copy in the end."""
        faults = self.store.memory.faults
        self.store_is_back.clear()
        faults.down = True
        try:
            yield
        finally:
            await self.store.restore(saved)
            faults.down = False
            self.store_is_back.set()

    async def write_again(self, source: random.Random) -> None:
        """Let the operator and the servers write what was lost, in any order."""
        await asyncio.gather(
            self.declare_again(source),
            *(self.list_again(s, source) for s in self.servers),
        )

    async def declare_again(self, source: random.Random) -> None:
        """Write the last configurations again, one after the other."""
        count = source.randrange(1, 4)
        async with self.declaring:
            await asyncio.sleep(source.uniform(0.0, WRITE_AGAIN_SECONDS))
            for behind in reversed(range(min(count, len(self.keys) + 1))):
                await self.write_configuration(self.keys[: len(self.keys) - behind])

    async def list_again(
        self, server: poolserver.PoolServer, source: random.Random
    ) -> None:
        """Write a server's row as it is by then, unless the copy has it so."""
        await asyncio.sleep(source.uniform(0.0, WRITE_AGAIN_SECONDS))
        row = self.store.memory.table.rows.get((names.SERVERS_TABLE, server.name))
        found = None if row is None else msgspec.json.decode(row.value)
        said = None if found is None else (found["state"], found["born"])
        state = self.states[server.name]
        if said != (None if state is None else (state, server.born)):
            await self.list_server(server, state)

    async def change_rows(self, count: int) -> None:
        """Let servers change what their rows say besides their state."""
        listed = [one for one in self.servers if self.states[one.name] is not None]
        for server in listed * (count // max(1, len(listed))):
            self.cold_left_ms += 1
            await self.list_server(server, self.states[server.name])

    async def until_ready(self) -> None:
        """Wait until every instance listens for callers."""
        await asyncio.wait_for(networks.until(self.all_listen), timeout=READY_SECONDS)

    async def until_serving(self) -> None:
        """Wait until every instance serves requests."""
        async with aiohttp.ClientSession() as session:
            for member in self.members:
                checked = functools.partial(serves, session, member)
                await asyncio.wait_for(networks.until(checked), timeout=READY_SECONDS)

    async def all_listen(self) -> bool:
        """Tell whether every instance listens for callers."""
        return all(listens(member.listen["callers"]) for member in self.members)


async def serves(session: aiohttp.ClientSession, member: Member) -> bool:
    """Tell whether an instance says that it serves requests."""
    try:
        async with session.get(f"http://{member.listen['ready']}/readyz") as response:
            return response.status == HTTP_OK
    except aiohttp.ClientConnectorError:
        return False


def listens(address: str) -> bool:
    """Tell whether a process listens on a loopback address."""
    host, _, port = address.partition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0
