"""Test data and a platform stand-in for the storage tests."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

from tealcove import ids
from tealcove.platform import store as store_client
from tealcove.standins import platform
from tealcove.storage import instances, table

PATIENT = store_client.Timeouts(connect=10.0, total=30.0)


def put(key: str, value: bytes = b"value", *conditions: object) -> table.Transaction:
    """Return a transaction that writes one row of table "t"."""
    return table.Transaction(conditions, (table.Put("t", key, value),))


def entry(name: str) -> instances.ListedInstance:
    """Return a live instance."""
    return instances.ListedInstance(
        name=name,
        kind=instances.ListedKind.INSTANCE,
        state=instances.ListedState.LIVE,
        host="127.0.0.1",
        http_port=8080,
        peer_port=8081,
        data_centre=ids.DataCentreId("west"),
    )


@contextlib.asynccontextmanager
async def serving(
    timeouts: store_client.Timeouts = PATIENT,
) -> AsyncIterator[tuple[platform.PlatformStandin, store_client.StoreClient]]:
    """Run a stand-in on a free port and connect a client to it."""
    standin = platform.PlatformStandin()
    await standin.start()
    connected = store_client.StoreClient(standin.url, timeouts)
    try:
        yield standin, connected
    finally:
        await connected.close()
        await standin.stop()
