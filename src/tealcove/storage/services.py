"""The platform's four services over HTTP."""

from __future__ import annotations

import msgspec

from tealcove.storage import client, instances, objects, table, weights

COMMIT_PATH = "/v1/table/commit"
ROW_PATH = "/v1/table/row"
SCAN_PATH = "/v1/table/scan"
OBJECT_PATH = "/v1/object"
OBJECT_PUT_PATH = "/v1/object/put"
OBJECT_DELETE_PATH = "/v1/object/delete"
INSTANCES_PATH = "/v1/instances"
RESERVE_PATH = "/v1/weights/reserve"


class Reservation(msgspec.Struct, frozen=True):
    """Asks the weight store for a load of `size` bytes."""

    size: int


class Reserved(msgspec.Struct, frozen=True):
    """The weight store's answer: seconds to wait before the load."""

    wait: float


class HttpTableService(table.TableService):
    """The table service behind a platform client."""

    def __init__(self, platform: client.PlatformClient) -> None:
        self.platform = platform

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        """Apply a transaction; see the base class."""
        reply = await self.platform.write(COMMIT_PATH, {}, transaction)
        if reply.status == client.HTTP_CONFLICT:
            raise client.conflicts_of(reply)
        return client.decode_write(reply.content, table.Committed)

    async def read(self, table: str, key: str) -> table.Row | None:
        """Return a row, or None; see the base class."""
        params = {"table": table, "key": key}
        reply = await self.platform.read(ROW_PATH, params)
        return decode_row(reply)

    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[table.Row, ...]:
        """Return rows in order of key; see the base class."""
        params = {"table": table, "after": after, "limit": str(limit)}
        reply = await self.platform.read(SCAN_PATH, params)
        return decode_rows(reply)


def decode_row(reply: client.Reply) -> table.Row | None:
    """Decode the reply to a read of one row."""
    if reply.status == client.HTTP_NO_CONTENT:
        return None
    return client.decode_read(reply.content, table.Row)


def decode_rows(reply: client.Reply) -> tuple[table.Row, ...]:
    """Decode the reply to a scan."""
    return client.decode_read(reply.content, tuple[table.Row, ...])


class HttpObjectStore(objects.ObjectStore):
    """The object store behind a platform client."""

    def __init__(self, platform: client.PlatformClient) -> None:
        self.platform = platform

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; see the base class."""
        await self.platform.write(OBJECT_PUT_PATH, {"name": name}, content)

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None; see the base class."""
        reply = await self.platform.read(OBJECT_PATH, {"name": name})
        if reply.status == client.HTTP_NO_CONTENT:
            return None
        return reply.content

    async def delete(self, name: str) -> None:
        """Delete an object; see the base class."""
        await self.platform.write(OBJECT_DELETE_PATH, {"name": name}, b"")


class HttpInstanceList(instances.InstanceList):
    """The instance list behind a platform client."""

    def __init__(self, platform: client.PlatformClient) -> None:
        self.platform = platform

    async def listed(self) -> tuple[instances.ListedInstance, ...]:
        """Return all entries; see the base class."""
        reply = await self.platform.read(INSTANCES_PATH, {})
        return client.decode_read(reply.content, tuple[instances.ListedInstance, ...])


class HttpWeightStore(weights.WeightStore):
    """The weight store behind a platform client."""

    def __init__(self, platform: client.PlatformClient) -> None:
        self.platform = platform

    async def reserve(self, size: int) -> float:
        """Reserve a load; see the base class."""
        reply = await self.platform.write(RESERVE_PATH, {}, Reservation(size))
        return client.decode_write(reply.content, Reserved).wait
