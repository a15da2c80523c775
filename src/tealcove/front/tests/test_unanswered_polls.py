"""Long polls that the store never answers."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable

import aiohttp
import msgspec
import pytest

from tealcove import clock, ids
from tealcove.catalog import copies, serverlist
from tealcove.front import factories
from tealcove.platform import documents, names, store, wire
from tealcove.platform.tests import builders
from tealcove.tests import virtual

# Seconds from the end of an outage until changes of the store bind all instances, and
# from such a change until it must be in force.
STABLE_SECONDS = 3.0
IN_FORCE_SECONDS = 2.0
# Seconds between two checks of servers whose rows lapsed.
CHECK_SECONDS = 0.05


class SilentStore(store.StoreClient):
    """A store that never answers the calls it receives during an outage."""

    def __init__(self) -> None:
        super().__init__("http://store.invalid")
        self.version = 1
        # The version of the last change of each server, and the servers that are gone.
        self.rows: dict[str, int] = {}
        self.gone: set[str] = set()
        self.changed = asyncio.Event()
        self.silent_until = clock.now()

    def change(self, server: str, is_gone: bool = False) -> None:
        """Write or delete a server's row, which answers the open polls."""
        self.version += 1
        self.rows[server] = self.version
        if is_gone:
            self.gone.add(server)
        self.changed.set()
        self.changed = asyncio.Event()

    async def call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        content: bytes | None,
        limits: aiohttp.ClientTimeout,
        *_: object,
    ) -> wire.Reply:
        """See StoreClient; raises TimeoutError in place of an answer."""
        if clock.now() < self.silent_until:
            await asyncio.sleep(limits.sock_read)
            raise TimeoutError
        wait = int(params["wait_ms"]) / 1000
        if self.version <= int(params["since_rev"]):
            changed = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait([changed], timeout=wait)
            changed.cancel()
        return wire.Reply(store.HTTP_OK, self.page(int(params["since_rev"])))

    def page(self, since: int) -> bytes:
        """Return the rows after a version, encoded."""
        value = base64.b64encode(msgspec.json.encode(builders.WRITTEN)).decode()
        rows = tuple(
            wire.WireRow(
                names.SERVERS_TABLE,
                server,
                value=value,
                row_version=version,
                tombstone=server in self.gone,
            )
            for server, version in self.rows.items()
            if version > since
        )
        return msgspec.json.encode(wire.WirePage(rows, self.version))


async def seconds_to_learn(
    outage: float,
    change: Callable[[SilentStore], None],
    is_known: Callable[[serverlist.ServersCopy], bool],
) -> float:
    """Return the seconds from a change after an outage until an instance acts on it."""
    source = SilentStore()
    servers = serverlist.ServersCopy(documents.decode_server)
    servers.revision = ids.Revision(1)
    _, follower = factories.new_followers(
        source,
        copies.ConfigurationCopy("config", documents.decode_configuration),
        servers,
    )
    following = asyncio.create_task(follower.run())
    await asyncio.sleep(1.0)
    source.change("s-0")
    source.silent_until = clock.now() + outage
    await asyncio.sleep(outage + STABLE_SECONDS)
    change(source)
    changed_at = clock.now()
    while not is_known(servers):
        await asyncio.sleep(CHECK_SECONDS)
        servers.expire_lapses(clock.now())
    following.cancel()
    await source.close()
    return clock.now() - changed_at


def test_a_poll_of_a_silent_store_hides_no_later_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Servers that left after an outage got requests until the poll timed out."""

    async def main() -> None:
        for tenths in range(3, 60):
            taken = await seconds_to_learn(
                tenths / 10,
                lambda source: source.change("s-1"),
                lambda servers: "s-1" in servers.known,
            )
            assert taken < IN_FORCE_SECONDS, f"outage of {tenths / 10} s"

    virtual.run(monkeypatch, main())


def test_a_server_that_is_gone_does_not_count_as_lapsed_after_a_lost_poll(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Servers that left long after an outage were kept as if its end were new."""

    async def main() -> None:
        for tenths in range(3, 60):
            taken = await seconds_to_learn(
                tenths / 10,
                lambda source: source.change("s-0", is_gone=True),
                lambda servers: "s-0" not in servers.known,
            )
            assert taken < IN_FORCE_SECONDS, f"outage of {tenths / 10} s"

    virtual.run(monkeypatch, main())
