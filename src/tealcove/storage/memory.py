"""The platform in memory, for tests and as the core of the stand-in."""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import time
from collections.abc import Callable

import msgspec

from tealcove.storage import (
    faults,
    feed,
    instances,
    objects,
    rowweights,
    table,
)

# Changes of the instance list older than this are merged: the greatest lag.
MAX_LIST_LAG = 600.0
# Changes that are kept for those who follow a table.
MAX_CHANGES = 10_000


class RowChange(msgspec.Struct, frozen=True):
    """A row that was written or dropped."""

    table: str
    entry: feed.Entry


class MemoryTableService(table.TimedTable, feed.Feed):
    """Rows in memory; versions come from one counter, over deletes too."""

    def __init__(self, gate: faults.Gate) -> None:
        self.gate = gate
        self.last_version = 0
        self.rows: dict[tuple[str, str], table.Row] = {}
        self.sorted_keys: dict[str, list[str]] = {}
        self.changes: list[RowChange] = []
        # The version from which on all changes are still kept.
        self.history_start = 0
        self.changed = asyncio.Condition()

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        """Apply a transaction; see the base class."""
        await self.gate.admit_write()
        conflicts = self.find_conflicts(transaction)
        if conflicts:
            raise table.ConditionFailedError(conflicts)
        self.last_version += 1
        for write in transaction.writes:
            self.apply(write)
        async with self.changed:
            self.changed.notify_all()
        self.gate.confirm_write()
        return table.Committed(self.last_version)

    async def read_at(self, table_name: str, key: str) -> table.Reading:
        """Return a row and the time; see the base class."""
        await self.gate.admit_read()
        return table.Reading(self.rows.get((table_name, key)), self.gate.clock())

    async def read_all(self, table: str) -> feed.Page:
        """Return all rows of a table; see the base class."""
        await self.gate.admit_read()
        rows = self.rows_of_table(table)
        entries = tuple(feed.Entry(row.key, row.value, row.version) for row in rows)
        return feed.Page(entries, self.last_version)

    async def wait_for_changes(
        self,
        table: str,
        since: int,
        seconds: float,
        arriving: Callable[[], None] | None = None,
    ) -> feed.Page:
        """Return what has changed after a version; see the base class."""
        await self.gate.admit_read()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(lambda: self.has_changes(table, since))
        self.gate.refuse_when_down()
        if since < self.history_start:
            raise feed.HistoryLostError(
                f"the changes since {since} are gone", "Read the whole table."
            )
        return feed.Page(tuple(self.changes_after(table, since)), self.last_version)

    def has_changes(self, table: str, since: int) -> bool:
        """Tell whether a table has changed after a version, or may have."""
        return since < self.history_start or bool(self.changes_after(table, since))

    def changes_after(self, table: str, since: int) -> list[feed.Entry]:
        """Return the changes of a table after a version, in order."""
        return [
            change.entry
            for change in self.changes
            if change.table == table and change.entry.version > since
        ]

    async def discard_history(self) -> None:
        """Keep none of the changes so far."""
        self.changes.clear()
        self.history_start = self.last_version
        async with self.changed:
            self.changed.notify_all()

    def record_change(self, table: str, entry: feed.Entry) -> None:
        """Keep a change for those who follow its table."""
        self.changes.append(RowChange(table, entry))
        if len(self.changes) > MAX_CHANGES:
            self.history_start = self.changes.pop(0).entry.version

    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[table.Row, ...]:
        """Return rows in order of key; see the base class."""
        await self.gate.admit_read()
        keys = self.sorted_keys.get(table, [])
        start = bisect.bisect_right(keys, after)
        return tuple(self.rows[table, key] for key in keys[start : start + limit])

    def rows_of_table(self, table: str) -> list[table.Row]:
        """Return the rows of a table in order of key."""
        return [self.rows[table, key] for key in self.sorted_keys.get(table, [])]

    def find_conflicts(
        self, transaction: table.Transaction
    ) -> tuple[table.Conflict, ...]:
        """Return every condition that doesn't hold at present."""
        conflicts = []
        for index, condition in enumerate(transaction.conditions):
            row = self.rows.get((condition.table, condition.key))
            if not condition_holds(condition, row):
                conflicts.append(table.Conflict(index, row))
        return tuple(conflicts)

    def apply(self, write: table.Put | table.Delete) -> None:
        """Apply one write at the version of its transaction."""
        place = (write.table, write.key)
        keys = self.sorted_keys.setdefault(write.table, [])
        if isinstance(write, table.Put):
            if place not in self.rows:
                bisect.insort(keys, write.key)
            self.rows[place] = table.Row(
                write.table, write.key, write.value, self.last_version
            )
            entry = feed.Entry(write.key, write.value, self.last_version)
            self.record_change(write.table, entry)
        elif self.rows.pop(place, None) is not None:
            del keys[bisect.bisect_left(keys, write.key)]
            self.record_change(
                write.table, feed.Entry(write.key, None, self.last_version)
            )


def condition_holds(
    condition: table.Absent | table.VersionIs, row: table.Row | None
) -> bool:
    """Whether a condition holds of the row that stands there."""
    if isinstance(condition, table.Absent):
        return row is None
    return row is not None and row.version == condition.version


class MemoryObjectStore(objects.ObjectStore):
    """Whole objects in memory."""

    def __init__(self, gate: faults.Gate) -> None:
        self.gate = gate
        self.contents: dict[str, bytes] = {}

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; see the base class."""
        await self.gate.admit_write()
        self.contents[name] = content
        self.gate.confirm_write()

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None; see the base class."""
        await self.gate.admit_read()
        return self.contents.get(name)

    async def delete(self, name: str) -> None:
        """Delete an object; see the base class."""
        await self.gate.admit_write()
        self.contents.pop(name, None)
        self.gate.confirm_write()


class ListChange(msgspec.Struct, frozen=True):
    """A change of the list: when, and the new entry or None for a removal."""

    at: float
    name: str
    entry: instances.ListedInstance | None


class MemoryInstanceList(instances.InstanceList):
    """A list that shows each change only after the lag that is switched on."""

    def __init__(self, gate: faults.Gate) -> None:
        self.gate = gate
        self.merged: dict[str, instances.ListedInstance] = {}
        self.changes: list[ListChange] = []

    async def listed(self) -> tuple[instances.ListedInstance, ...]:
        """Return the entries as they stood a lag ago; see the base class."""
        await self.gate.admit_read()
        shown_until = self.gate.clock() - self.gate.faults.list_lag
        entries = dict(self.merged)
        for change in self.changes:
            if change.at <= shown_until:
                merge(entries, change)
        return tuple(entries[name] for name in sorted(entries))

    def register(self, entry: instances.ListedInstance) -> None:
        """Add an entry, or replace the one of its name."""
        self.record(entry.name, entry)

    def remove(self, name: str) -> None:
        """Remove an entry; no error when it's absent."""
        self.record(name, None)

    def record(self, name: str, entry: instances.ListedInstance | None) -> None:
        """Append a change, and merge those that no lag can hide any more."""
        now = self.gate.clock()
        self.changes.append(ListChange(now, name, entry))
        while self.changes[0].at < now - MAX_LIST_LAG:
            merge(self.merged, self.changes.pop(0))


def merge(entries: dict[str, instances.ListedInstance], change: ListChange) -> None:
    """Apply a change to entries by name."""
    if change.entry is None:
        entries.pop(change.name, None)
    else:
        entries[change.name] = change.entry


class MemoryPlatform:
    """The four services over one set of faults; embed it in tests."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        weight_rate: float = rowweights.DEFAULT_RATE,
    ) -> None:
        self.gate = faults.Gate(clock)
        self.table = MemoryTableService(self.gate)
        self.objects = MemoryObjectStore(self.gate)
        self.instances = MemoryInstanceList(self.gate)
        self.weights = rowweights.RowWeightStore(self.table)
        if weight_rate != rowweights.DEFAULT_RATE:
            schedule = msgspec.json.encode(rowweights.LoadSchedule(weight_rate))
            self.table.last_version += 1
            self.table.apply(table.Put(rowweights.TABLE, rowweights.KEY, schedule))

    @property
    def faults(self) -> faults.Faults:
        """The faults at present; change its attributes or replace it."""
        return self.gate.faults

    @faults.setter
    def faults(self, changed: faults.Faults) -> None:
        self.gate.faults = changed

    @property
    def read_count(self) -> int:
        """Reads admitted since the start, those of the list included."""
        return self.gate.reads.count

    @property
    def write_count(self) -> int:
        """Writes admitted since the start, refused conditions included."""
        return self.gate.writes.count
