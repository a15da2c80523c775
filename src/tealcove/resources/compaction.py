"""Compaction of the change log into snapshots in the object store."""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from tealcove import errors, ids
from tealcove.resources import codec, copy, log, snapshots
from tealcove.storage import table

LOG = logbook.Logger("resources")

# Number of change rows deleted in one transaction.
DELETE_BATCH_ROWS = 100
# Attempts to write a snapshot's revision to the head; a concurrent change fails one.
ATTEMPTS = 10


class CompactionSettings(msgspec.Struct, frozen=True):
    """How often the log is compacted and how much is retained, in changes."""

    # Number of changes between two snapshots.
    every: int = 500
    # Number of changes before the snapshot that are kept individually, for watches
    # and for repeats with an Idempotency-Key; at least 1.
    retained: int = 1000


class Compactor:
    """Compacts the log on request; several instances may do so concurrently.

    Any step may be skipped or repeated: the snapshot is stored before the head
    names it, and the head names it before changes are deleted. What a crashed
    compactor left undeleted, the next one deletes. Only a snapshot that was stored
    but never named can remain in the object store; it is never read.
    """

    def __init__(
        self,
        change_log: log.ConfigurationLog,
        local_copy: copy.ConfigurationCopy,
        settings: CompactionSettings | None = None,
    ) -> None:
        self.log = change_log
        self.copy = local_copy
        self.settings = settings or CompactionSettings()
        # Set when a compaction is due.
        self.requested = asyncio.Event()

    async def run(self) -> None:
        """Compact whenever `requested` is set, until cancelled."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            try:
                await self.compact()
            except errors.TealcoveError as error:
                LOG.warning(
                    "Compaction failed; the next one will complete it: {}",
                    error,
                )

    async def compact(self) -> None:
        """Store a snapshot of the copy, name it in the head and delete old changes.

        Raises PlatformError; the steps done by then are harmless.
        """
        configuration = self.copy.current
        named = (await self.log.read_head()).head.snapshot
        if configuration.revision > named:
            content = await asyncio.to_thread(snapshots.encode, configuration)
            name = log.snapshot_name(configuration.revision)
            await self.log.store.put(name, content)
            replaced = await self.publish(configuration.revision)
            if replaced != copy.NO_REVISION:
                await self.log.store.delete(log.snapshot_name(replaced))
        await self.delete_old_changes()

    async def publish(self, revision: ids.Revision) -> ids.Revision:
        """Name a snapshot in the head, unless the head names a newer one.

        Returns the revision of the superseded snapshot, or NO_REVISION.
        """
        replaced = copy.NO_REVISION
        for _ in range(ATTEMPTS):
            head_row = await self.log.read_head()
            if head_row.head.snapshot == revision:
                return replaced
            if head_row.head.snapshot > revision:
                return revision
            replaced = head_row.head.snapshot
            try:
                await self.log.rows.commit(self.head_update(head_row, revision))
            except (table.ConditionFailedError, errors.OutcomeUnknownError):
                continue
            return replaced
        raise errors.PlatformError(
            f"the head changed {ATTEMPTS} times before it named a snapshot",
            "Nothing: the next compaction will name one.",
        )

    def head_update(
        self, head_row: log.HeadRow, revision: ids.Revision
    ) -> table.Transaction:
        """Return the transaction that names a snapshot if the head is unchanged."""
        floor = max(head_row.head.floor, revision - self.settings.retained)
        head = msgspec.structs.replace(
            head_row.head, snapshot=revision, floor=ids.Revision(floor)
        )
        write = table.Put(log.HEADS, log.HEAD_KEY, codec.encode(head))
        return table.Transaction((head_row.unchanged,), (write,))

    async def delete_old_changes(self) -> None:
        """Delete the changes up to the floor and their idempotency rows."""
        head = (await self.log.read_head()).head
        while True:
            rows = await self.log.rows.scan(log.CHANGES, "", DELETE_BATCH_ROWS)
            old = [row for row in rows if row.key <= log.change_key(head.floor)]
            if not old:
                return
            deletes = [table.Delete(log.CHANGES, row.key) for row in old]
            for row in old:
                idempotency_row = codec.decode_change(row.value).idempotency_row
                if idempotency_row:
                    deletes.append(table.Delete(log.IDEMPOTENCY, idempotency_row))
            await self.log.rows.commit(table.Transaction((), tuple(deletes)))
