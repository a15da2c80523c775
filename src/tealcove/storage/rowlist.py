"""The list of instances, kept as rows that the instances write themselves."""

from __future__ import annotations

import logbook
import msgspec

from tealcove import errors
from tealcove.storage import instances, table

log = logbook.Logger("storage")

TABLE = "instances"
# Instances beyond these are found through the ones listed.
MAX_LISTED = 500


class RowInstanceList(instances.InstanceList):
    """Lets instances find each other when none of the seeds answers.

    Each writes its row once, at its start. Rows of instances that are gone stay
    until an instance of that name starts again; whoever reads the list finds out
    by heartbeats who lives.
    """

    def __init__(
        self,
        rows: table.TableService,
        own: instances.ListedInstance | None = None,
    ) -> None:
        self.rows = rows
        # Absent: somebody else keeps the list.
        self.own = own
        self.is_listed = False

    async def listed(self) -> tuple[instances.ListedInstance, ...]:
        """Return all entries; the first call writes this instance's own."""
        found = await self.rows.scan(TABLE, limit=MAX_LISTED)
        listed = {row.key: decode(row) for row in found}
        if self.own is not None and not self.is_listed:
            if listed.get(self.own.name) != self.own:
                await self.write_own(self.own)
            self.is_listed = True
        return tuple(entry for entry in listed.values() if entry is not None)

    async def write_own(self, own: instances.ListedInstance) -> None:
        """Write this instance's row, whatever stands there."""
        put = table.Put(TABLE, own.name, msgspec.json.encode(own))
        try:
            await self.rows.commit(table.Transaction((), (put,)))
        except errors.OutcomeUnknownError as error:
            # Written a second time it is the same row; the next start looks again.
            log.info("the own row may be missing: {}", error)


def decode(row: table.Row) -> instances.ListedInstance | None:
    """Return a row's entry; None when it can't be read."""
    try:
        return msgspec.json.decode(row.value, type=instances.ListedInstance)
    except msgspec.MsgspecError as error:
        log.warning("the row of {} is passed over: {}", row.key, error)
        return None
