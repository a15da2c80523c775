"""The turns of loading weights, kept in one row of the table."""

from __future__ import annotations

import msgspec

from tealcove import errors
from tealcove.storage import table, weights

TABLE = "weights"
KEY = "turns"
# Bytes a second of loads together, where the operator's row names no rate.
DEFAULT_RATE = 1e9
# Tries of one reservation: each fails only because another one has succeeded.
MAX_ATTEMPTS = 10


class LoadSchedule(msgspec.Struct, frozen=True):
    """The row: the rate, and until when it's taken by the table's own clock."""

    rate: float = DEFAULT_RATE
    busy_until: float = 0.0


class RowWeightStore(weights.WeightStore):
    """Gives loads their turn one behind the other, over all instances."""

    def __init__(self, rows: table.TimedTable) -> None:
        self.rows = rows

    async def reserve(self, size: int) -> float:
        """Reserve a load; see the base class."""
        for _ in range(MAX_ATTEMPTS):
            found = await self.rows.read_at(TABLE, KEY)
            schedule = LoadSchedule() if found.row is None else decode(found.row)
            start = max(found.seconds, schedule.busy_until)
            taken = LoadSchedule(schedule.rate, start + size / schedule.rate)
            try:
                await table.replace(
                    self.rows, found.row, TABLE, KEY, msgspec.json.encode(taken)
                )
            except table.ConditionFailedError:
                continue
            return start - found.seconds
        raise errors.PlatformUnavailableError(
            "other loads took each turn first", "Try again later."
        )


def decode(row: table.Row) -> LoadSchedule:
    """Return what a row says; raises PlatformUnavailableError."""
    try:
        return msgspec.json.decode(row.value, type=LoadSchedule)
    except msgspec.MsgspecError as error:
        raise errors.PlatformUnavailableError(
            f"the row {TABLE}/{KEY} can't be read: {error}", "Write it anew."
        ) from error
