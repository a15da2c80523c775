"""Long polls that the store never answers."""

from __future__ import annotations

import asyncio
import base64

import aiohttp
import msgspec
import pytest

from tealcove import clock, ids
from tealcove.catalog import copies, serverlist
from tealcove.front import factories
from tealcove.platform import documents, names, store
from tealcove.platform.tests import builders
from tealcove.tests import virtual

# Seconds from the end of an outage until changes of the store bind all instances, and
# from such a change until it must be in force.
STABLE_SECONDS = 3.0
IN_FORCE_SECONDS = 2.0


class SilentStore(store.StoreClient):
    """A store that never answers the calls it receives during an outage."""

    def __init__(self) -> None:
        super().__init__("http://store.invalid")
        self.version = 1
        self.changed = asyncio.Event()
        self.silent_until = clock.now()

    def change(self) -> None:
        """Write a row, which answers the open polls."""
        self.version += 1
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
    ) -> store.Reply:
        """See StoreClient; raises TimeoutError in place of an answer."""
        if clock.now() < self.silent_until:
            await asyncio.sleep(limits.sock_read)
            raise TimeoutError
        wait = int(params["wait_ms"]) / 1000
        if self.version <= int(params["since_rev"]):
            changed = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait([changed], timeout=wait)
            changed.cancel()
        return store.Reply(store.HTTP_OK, self.page(int(params["since_rev"])))

    def page(self, since: int) -> bytes:
        """Return the rows after a version, encoded."""
        value = base64.b64encode(msgspec.json.encode(builders.WRITTEN)).decode()
        rows = tuple(
            store.WireRow(names.SERVERS_TABLE, f"s-{n}", value=value, row_version=n)
            for n in range(since + 1, self.version + 1)
        )
        return msgspec.json.encode(store.WirePage(rows, self.version))


async def seconds_to_follow(outage: float) -> float:
    """Return the seconds from a change after an outage until an instance knows it."""
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
    source.change()
    source.silent_until = clock.now() + outage
    await asyncio.sleep(outage + STABLE_SECONDS)
    caught_up = asyncio.Event()
    servers.listeners.append(caught_up.set)
    source.change()
    changed_at = clock.now()
    await caught_up.wait()
    following.cancel()
    await source.close()
    return clock.now() - changed_at


def test_a_poll_of_a_silent_store_hides_no_later_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Servers that left after an outage got requests until the poll timed out."""

    async def main() -> None:
        for tenths in range(3, 60):
            taken = await seconds_to_follow(tenths / 10)
            assert taken < IN_FORCE_SECONDS, f"outage of {tenths / 10} s"

    virtual.run(monkeypatch, main())
