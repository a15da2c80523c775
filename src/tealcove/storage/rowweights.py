"""The schedule of weight loads, kept in one row of the table."""

from __future__ import annotations

import msgspec

from tealcove import decoding, errors
from tealcove.storage import table, weights

TABLE = "weights"
KEY = "turns"
# Total rate of all loads in bytes a second, unless the operator's row sets one.
DEFAULT_RATE = 1e9
# Attempts per reservation; each fails only because another one succeeded.
MAX_ATTEMPTS = 10


class LoadSchedule(msgspec.Struct, frozen=True):
    """The row: the rate, and the end of the last load by the table's clock."""

    rate: float = DEFAULT_RATE
    busy_until: float = 0.0


class RowWeightStore(weights.WeightStore):
    """Schedules the loads of all instances one after another."""

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
    """Decode the row; raises PlatformUnavailableError."""
    try:
        return decoding.decode_json(row.value, LoadSchedule)
    except msgspec.MsgspecError as error:
        raise errors.PlatformUnavailableError(
            f"the row {TABLE}/{KEY} can't be read: {error}", "Write it anew."
        ) from error
