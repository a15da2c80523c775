"""The log of configuration changes in the platform's table, and its head row."""

from __future__ import annotations

import asyncio

import msgspec

from tealcove import decoding, errors, ids
from tealcove.resources import codec, copy, kinds, refusals, snapshots
from tealcove.storage import objects, table

RESOURCES = "resources"
CHANGES = "configuration-changes"
HEADS = "configuration-head"
IDEMPOTENCY = "configuration-idempotency"
HEAD_KEY = "head"
# Digits of a revision in a key: zero-padded, keys sort in numeric order.
REVISION_DIGITS = 16
# Rows in one read of the log.
PAGE_ROWS = 500
# Attempts to load a snapshot, each of which a compaction may defeat.
LOAD_ATTEMPTS = 5


class Head(msgspec.Struct, frozen=True):
    """The state of the log: its newest revision and what of it is stored."""

    revision: ids.Revision = copy.NO_REVISION
    # Revision of the newest snapshot in the object store; 0 if there is none.
    snapshot: ids.Revision = copy.NO_REVISION
    # The changes after this revision are kept individually.
    floor: ids.Revision = copy.NO_REVISION


class HeadRow(msgspec.Struct, frozen=True):
    """The head and the condition that its row is unchanged."""

    head: Head
    unchanged: table.Absent | table.VersionIs


def change_key(revision: int) -> str:
    """Return the key of a change's row."""
    return f"{revision:0{REVISION_DIGITS}d}"


def resource_key(kind: kinds.Kind, name: str) -> str:
    """Return the key of a resource's row."""
    return f"{kind.value}/{name}"


def snapshot_name(revision: ids.Revision) -> str:
    """Return the name of a snapshot in the object store."""
    return f"configuration/{change_key(revision)}"


class ConfigurationLog:
    """Reads the log and advances a copy to its head."""

    def __init__(self, rows: table.TableService, store: objects.ObjectStore) -> None:
        self.rows = rows
        self.store = store
        self.advance_lock = asyncio.Lock()

    async def read_head(self) -> HeadRow:
        """Return the head; raises PlatformError."""
        row = await self.rows.read(HEADS, HEAD_KEY)
        condition = table.unchanged(row, HEADS, HEAD_KEY)
        if row is None:
            return HeadRow(Head(), condition)
        try:
            return HeadRow(decoding.decode_json(row.value, Head), condition)
        except msgspec.MsgspecError as error:
            raise errors.PlatformError(
                f"the head of the configuration can't be decoded: {error}",
                f"Find out who wrote the row in {HEADS}, and restore it.",
            ) from error

    async def change(self, revision: ids.Revision) -> codec.Change | None:
        """Return one change, or None; raises PlatformUnavailableError."""
        row = await self.rows.read(CHANGES, change_key(revision))
        return None if row is None else codec.decode_change(row.value)

    async def changes_after(self, revision: ids.Revision) -> list[codec.Change]:
        """Return the next changes, at most `PAGE_ROWS`.

        Raises CompactedError if the next one is no longer kept, and
        PlatformUnavailableError.
        """
        found = await self.rows.scan(CHANGES, change_key(revision), PAGE_ROWS)
        changes = [codec.decode_change(row.value) for row in found]
        if changes and changes[0].revision != revision + 1:
            raise compacted_error(revision)
        return changes

    async def load_snapshot(self, head: Head) -> copy.Configuration:
        """Load the newest snapshot; raises PlatformUnavailableError.

        A compaction may delete the snapshot after the head was read, so that the
        object is missing; the head is then read again, as it names a newer one.
        """
        for _ in range(LOAD_ATTEMPTS):
            if head.snapshot == copy.NO_REVISION:
                return copy.empty()
            content = await self.store.get(snapshot_name(head.snapshot))
            if content is not None:
                return await asyncio.to_thread(snapshots.decode, content)
            head = (await self.read_head()).head
        raise errors.PlatformUnavailableError(
            f"the snapshot at revision {head.snapshot} is missing",
            "Check that the object store keeps what was put there.",
        )

    async def advance(self, local_copy: copy.ConfigurationCopy, head: Head) -> None:
        """Advance a copy atomically to the head's revision or a later one.

        Raises PlatformUnavailableError, and leaves the copy unchanged then.
        """
        async with self.advance_lock:
            configuration = local_copy.current
            if configuration.revision >= head.revision:
                return
            if configuration.revision < head.floor:
                configuration = await self.load_snapshot(head)
            configuration = await self.apply_changes(configuration, head)
            local_copy.activate(configuration)

    async def check_not_restored(self, local_copy: copy.ConfigurationCopy) -> None:
        """Raise TableRestoredError if the table is older than a copy.

        This is so after operators restored the table from a backup. A new change
        would reuse a revision that other copies already have, and the copies would
        diverge undetected.
        """
        revision = local_copy.revision
        head = (await self.read_head()).head
        if head.revision < revision:
            raise refusals.TableRestoredError(head.revision, revision)

    async def apply_changes(
        self, configuration: copy.Configuration, head: Head
    ) -> copy.Configuration:
        """Return the configuration with all changes up to the head's revision."""
        while configuration.revision < head.revision:
            try:
                changes = await self.changes_after(configuration.revision)
            except refusals.CompactedError:
                head = (await self.read_head()).head
                configuration = await self.load_snapshot(head)
                continue
            if not changes:
                raise errors.PlatformUnavailableError(
                    f"the change after revision {configuration.revision} is missing",
                    "Check that the table service shows all rows of a transaction.",
                )
            configuration = configuration.with_changes(changes)
        return configuration


def compacted_error(revision: ids.Revision) -> refusals.CompactedError:
    """Return the error for changes that were compacted into a snapshot."""
    return refusals.CompactedError(
        f"the changes after revision {revision} are no longer kept one by one",
        "List the resources, then watch from the revision that the list states.",
    )
