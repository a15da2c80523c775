"""The table and object store interfaces on top of the platform's store."""

from __future__ import annotations

import base64
import urllib.parse

import msgspec

from tealcove import ids
from tealcove.platform import names, store, wire
from tealcove.storage import objects, revisions, table

OBJECT_TYPE = "application/octet-stream"
MILLISECONDS = 1000.0


class StoreTable(table.TimedTable):
    """Stores rows and applies conditional transactions."""

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        """Apply a transaction; see the base class."""
        outdated = await self.find_outdated(transaction)
        if outdated:
            raise table.ConditionFailedError(outdated)
        body = msgspec.json.encode(wire_transaction(transaction))
        reply = await self.client.write(
            "POST", names.TRANSACT_PATH, body, {"Content-Type": store.JSON_TYPE}
        )
        if reply.status == store.HTTP_PRECONDITION_FAILED:
            raise conflicts(transaction, reply)
        if not all(is_of_era(one, reply.era) for one in transaction.conditions):
            raise wire.unknown("the store was restored since a row was read")
        page = wire.decode_page(reply, wire.decode_write)
        return table.Committed(page.row_version)

    async def find_outdated(
        self, transaction: table.Transaction
    ) -> tuple[table.Conflict, ...]:
        """Return the conditions on rows that were read in an earlier era.

        The store compares the number alone, which another write of this era may have.
        """
        found = []
        for index, condition in enumerate(transaction.conditions):
            if not is_of_era(condition, self.client.era):
                row = await self.read(condition.table, condition.key)
                found.append(table.Conflict(index, row))
        return tuple(found)

    async def read_at(self, table_name: str, key: str) -> table.Reading:
        """Return a row and the time; see the base class."""
        page = await self.client.read_page(table_name, key, 1)
        row = None
        if page.rows and page.rows[0].key == key:
            row = row_of(page.rows[0])
        return table.Reading(row, page.now_ms / MILLISECONDS, page.row_version)

    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[table.Row, ...]:
        """Return rows in order of key; see the base class."""
        start = f"{after}\0" if after else ""
        found, _ = await self.client.read_range(table, start, limit)
        return tuple(row_of(row) for row in found)


class StoreObjects(objects.ObjectStore):
    """Stores complete objects."""

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; see the base class."""
        headers = {"Content-Type": OBJECT_TYPE}
        path = names.PUT_OBJECT_PATH + quoted(name)
        await self.client.write("PUT", path, content, headers)

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None; see the base class."""
        path = names.GET_OBJECT_PATH + quoted(name)
        reply = await self.client.read(path, {}, self.client.timeouts.total)
        return None if reply.status == store.HTTP_NOT_FOUND else reply.content

    async def delete(self, name: str) -> None:
        """Delete an object; see the base class."""
        path = names.DROP_OBJECT_PATH + quoted(name)
        await self.client.write("DELETE", path, b"", {})


def quoted(name: str) -> str:
    """Return an object's name quoted as one path segment."""
    return urllib.parse.quote(name, safe="")


def wire_transaction(transaction: table.Transaction) -> wire.WireTransaction:
    """Convert a transaction to the store's wire format."""
    puts = [one for one in transaction.writes if isinstance(one, table.Put)]
    drops = [one for one in transaction.writes if isinstance(one, table.Delete)]
    return wire.WireTransaction(
        expect_rev=tuple(
            wire.WireCondition(
                one.table, one.key, revisions.number_of(expected_version(one))
            )
            for one in transaction.conditions
        ),
        puts=tuple(
            wire.WireRow(one.table, one.key, value=base64.b64encode(one.value).decode())
            for one in puts
        ),
        drop=tuple(wire.WireRow(one.table, one.key) for one in drops),
    )


def is_of_era(condition: table.Absent | table.VersionIs, era: ids.Era) -> bool:
    """Return whether a condition can be compared with rows of an era."""
    version = expected_version(condition)
    return version == 0 or revisions.era_of(version) == era


def expected_version(condition: table.Absent | table.VersionIs) -> int:
    """Return the version that a condition requires; 0: the row must be absent."""
    return condition.version if isinstance(condition, table.VersionIs) else 0


def conflicts(
    transaction: table.Transaction, reply: wire.Reply
) -> table.ConditionFailedError:
    """Return the error that lists every failed condition.

    Raises PlatformUnavailableError if the reply can't be decoded, since a rejected
    transaction was certainly not applied.
    """
    page = wire.decode_page(reply)
    present = {(row.table, row.key): row for row in page.rows if not row.tombstone}
    found = []
    for index, condition in enumerate(transaction.conditions):
        row = present.get((condition.table, condition.key))
        version = 0 if row is None else row.row_version
        if version != expected_version(condition):
            current = None if row is None else row_of(row)
            found.append(table.Conflict(index, current))
    return table.ConditionFailedError(tuple(found))


def row_of(row: wire.WireRow) -> table.Row:
    """Convert a row to the internal representation."""
    return table.Row(row.table, row.key, row.content(), row.row_version)
