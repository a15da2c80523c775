"""The instance list as rows of the table that the instances write themselves."""

from __future__ import annotations

import logbook
import msgspec

from tealcove import decoding, errors
from tealcove.storage import instances, table

log = logbook.Logger("storage")

TABLE = "instances"
# Further instances are discovered through the listed ones.
MAX_LISTED = 500


class RowInstanceList(instances.InstanceList):
    """Lets instances discover each other when none of the seeds responds.

    Each writes its row at its start and after the store was restored. Rows of stopped
    instances remain until an instance of that name starts again; readers of the list
    determine by heartbeats which instances are alive.
    """

    def __init__(
        self,
        rows: table.TableService,
        own: instances.ListedInstance | None = None,
    ) -> None:
        self.rows = rows
        # None if another party maintains the list.
        self.own = own
        self.is_listed = False

    async def listed(self) -> tuple[instances.ListedInstance, ...]:
        """Return all entries; the first call writes this instance's row."""
        found = await self.rows.scan(TABLE, limit=MAX_LISTED)
        listed = {row.key: decode(row) for row in found}
        if self.own is not None and not self.is_listed:
            if listed.get(self.own.name) != self.own:
                await self.write_own(self.own)
            self.is_listed = True
        return tuple(entry for entry in listed.values() if entry is not None)

    def forget_own(self) -> None:
        """See InstanceList."""
        self.is_listed = False

    async def write_own(self, own: instances.ListedInstance) -> None:
        """Write this instance's row unconditionally."""
        put = table.Put(TABLE, own.name, msgspec.json.encode(own))
        try:
            await self.rows.commit(table.Transaction((), (put,)))
        except errors.OutcomeUnknownError as error:
            # Writing the row is idempotent, and the next start checks it again.
            log.info("the row of this instance may be missing: {}", error)


def decode(row: table.Row) -> instances.ListedInstance | None:
    """Return a row's entry, or None if it can't be decoded."""
    try:
        return decoding.decode_json(row.value, instances.ListedInstance)
    except msgspec.MsgspecError as error:
        log.warning("the row of {} can't be decoded and is ignored: {}", row.key, error)
        return None
