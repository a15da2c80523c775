"""A site whose store is restored from a copy, and what its instances know."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from tealcove.front import instance
from tealcove.platform import names
from tealcove.storage import memory
from tests import platform_site

FIRST_ERA = 1
# Seconds for which the store is away before it returns from a copy.
AWAY_SECONDS = 1.0
POLL_SECONDS = 0.01
# The store's address at an instance that can't reach it: nothing listens there.
UNREACHABLE = "http://127.0.0.1:1"


@contextlib.asynccontextmanager
async def site(servers: int = 2, instances: int = 3) -> AsyncIterator[Site]:
    """Run a site whose store names its era."""
    async with platform_site.connected_site(servers, instances, FIRST_ERA) as running:
        yield Site(running)


class Site:
    """A running site with a numbered configuration and a store that can be restored."""

    def __init__(self, running: platform_site.Site) -> None:
        self.running = running
        self.store = running.store
        # The version of the last configuration.
        self.version = 1

    @property
    def instances(self) -> list[instance.Instance]:
        """The instances that were started."""
        return self.running.instances

    def save(self) -> memory.SavedTable:
        """Return a copy of the store's table."""
        return self.store.memory.table.save()

    async def restore(
        self, saved: memory.SavedTable, seconds: float = AWAY_SECONDS
    ) -> None:
        """Take the store away for some seconds, and bring it back from a copy."""
        self.store.memory.faults.down = True
        await asyncio.sleep(seconds)
        await self.store.restore(saved)
        self.store.memory.faults.down = False

    async def declare(self, *keys: str, version: int | None = None) -> None:
        """Write a configuration with some keys, by default as the next version."""
        if version is None:
            self.version += 1
            version = self.version
        account = {"name": platform_site.ACCOUNT, "api_keys": list(keys)}
        content = platform_site.configuration(version=version, tenants=[account])
        await self.running.write(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, content)

    async def until_accepted(self, key: str) -> None:
        """Wait until all instances accept a key."""
        await platform_site.until(
            lambda: all(accepts(one, key) for one in self.instances)
        )

    async def until_rejected(self, key: str) -> None:
        """Wait until no instance accepts a key."""
        await platform_site.until(
            lambda: not any(accepts(one, key) for one in self.instances)
        )

    async def write_server(self, name: str, state: str | None) -> None:
        """Write a server's row, or delete it if `state` is None."""
        server = next(one for one in self.running.servers if one.name == name)
        content = None if state is None else server.entry(state)
        await self.running.write(names.SERVERS_TABLE, name, content)

    async def until_servers(self, *expected: str) -> None:
        """Wait until all instances use just these servers."""
        await platform_site.until(
            lambda: all(usable(one) == set(expected) for one in self.instances)
        )


class Watch:
    """Records what instances accept and use, until stopped."""

    def __init__(self, watched: Site) -> None:
        self.site = watched
        # Keys that any instance accepted, servers that any instance used, and the
        # least number of servers that one knew.
        self.accepted: set[str] = set()
        self.used: set[str] = set()
        self.fewest_servers = len(watched.running.servers)

    def look(self) -> None:
        """Record what holds now."""
        for one in self.site.instances:
            if one.configuration.current is not None:
                self.accepted.update(one.configuration.current.catalog.keys)
            self.used |= usable(one)
            if platform_site.is_serving(one):
                self.fewest_servers = min(self.fewest_servers, len(usable(one)))

    async def run(self) -> None:
        """Look often, until cancelled."""
        while True:
            self.look()
            await asyncio.sleep(POLL_SECONDS)


@contextlib.asynccontextmanager
async def watching(watched: Site) -> AsyncIterator[Watch]:
    """Record what instances accept and use meanwhile."""
    watch = Watch(watched)
    task = asyncio.create_task(watch.run())
    try:
        yield watch
    finally:
        task.cancel()


def accepts(one: instance.Instance, key: str) -> bool:
    """Return whether an instance accepts a key."""
    current = one.configuration.current
    return current is not None and current.find_account(key) is not None


def usable(one: instance.Instance) -> set[str]:
    """Return the servers that an instance knows and that haven't left."""
    return {name for name in one.servers.known if not one.servers.has_left(name)}
