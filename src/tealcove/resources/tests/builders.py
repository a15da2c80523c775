"""Test data: specs, requests, and instances that share an in-memory platform."""

from __future__ import annotations

import asyncio
import hashlib

from tealcove import ids
from tealcove.resources import codec, compaction, copy, decision, edits, kinds, store
from tealcove.storage import memory, objects, table

OPERATOR = "erwan"


class YieldingTable(table.TableService):
    """Yields to other tasks before and after each commit, so that writers race."""

    def __init__(self, inner: table.TableService) -> None:
        self.inner = inner

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        await asyncio.sleep(0)
        try:
            return await self.inner.commit(transaction)
        finally:
            await asyncio.sleep(0)

    async def read(self, table: str, key: str) -> table.Row | None:
        await asyncio.sleep(0)
        return await self.inner.read(table, key)

    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[table.Row, ...]:
        await asyncio.sleep(0)
        return await self.inner.scan(table, after, limit)


class Instance:
    """The copy, store and compactor of one instance."""

    def __init__(self, rows: table.TableService, kept: objects.ObjectStore) -> None:
        self.copy = copy.ConfigurationCopy()
        self.store = store.ResourceStore(rows, kept, self.copy)
        self.log = self.store.log
        self.compactor = compaction.Compactor(self.log, self.copy)

    async def catch_up(self) -> copy.Configuration:
        """Advance the copy to the head of the log."""
        row = await self.log.read_head()
        await self.log.advance(self.copy, row.head)
        return self.copy.current


def instance(platform: memory.MemoryPlatform) -> Instance:
    """Return a new instance with an empty copy."""
    return Instance(YieldingTable(platform.table), platform.objects)


def die_after_next_write(platform: memory.MemoryPlatform) -> None:
    """Make the platform go down after the next write, whose reply is lost."""
    confirm = platform.gate.confirm_write

    def confirm_and_die() -> None:
        platform.gate.confirm_write = confirm
        platform.faults.down = True
        confirm()

    platform.faults.lose_replies = 1
    platform.gate.confirm_write = confirm_and_die


def tier(rank: int = 1) -> kinds.ServiceTierSpec:
    """Return the spec of a service tier."""
    return kinds.ServiceTierSpec(rank=rank)


def key_hash(number: int) -> str:
    """Return the hash of the key of account `number`."""
    return hashlib.sha256(f"key {number}".encode()).hexdigest()


def account(number: int = 0, tier: str = "gold") -> kinds.ClientAccountSpec:
    """Return the spec of a client account with a unique key."""
    return kinds.ClientAccountSpec(tier=tier, key_hashes=(key_hash(number),))


def server(number: int = 1) -> kinds.BackendServerSpec:
    """Return a backend server with a unique name and address."""
    return kinds.BackendServerSpec(
        name=f"e{number}", host="127.0.0.1", port=9000 + number, data_centre="vannes"
    )


def put(
    kind: kinds.Kind,
    name: str,
    spec: kinds.Spec,
    if_match: int | None = None,
    key: str | None = None,
    operator: str = OPERATOR,
) -> decision.ChangeRequest:
    """Return a request to write a whole spec."""
    return decision.ChangeRequest(
        operator=operator,
        kind=kind,
        name=name,
        edit=edits.Put(spec),
        if_match=None if if_match is None else ids.Revision(if_match),
        idempotency_key=None if key is None else ids.IdempotencyKey(key),
    )


def delete(kind: kinds.Kind, name: str, if_match: int) -> decision.ChangeRequest:
    """Return a request to delete a resource."""
    return decision.ChangeRequest(
        operator=OPERATOR,
        kind=kind,
        name=name,
        edit=edits.Delete(),
        if_match=ids.Revision(if_match),
    )


def change(
    revision: int, kind: kinds.Kind, name: str, spec: kinds.Spec
) -> codec.Change:
    """Return a change that writes a resource."""
    metadata = kinds.Metadata(
        name=name,
        revision=ids.Revision(revision),
        generation=1,
        changed_by=OPERATOR,
    )
    return codec.Change(
        revision=ids.Revision(revision),
        kind=kind,
        name=name,
        changed_by=OPERATOR,
        nonce="",
        resource=kinds.Resource(kind=kind, metadata=metadata, spec=spec),
    )
