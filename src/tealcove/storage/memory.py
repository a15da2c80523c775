"""An in-memory platform, for tests and as the core of the stand-in."""

from __future__ import annotations

import asyncio
import bisect
import collections
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

# Maximum lag in seconds; older changes of the instance list are merged.
MAX_LIST_LAG = 600.0
# Number of changes that are kept for the change feed.
MAX_CHANGES = 10_000


class RowChange(msgspec.Struct, frozen=True):
    """The write or deletion of a row."""

    table: str
    entry: feed.Entry


class SavedTable(msgspec.Struct, frozen=True):
    """A copy of a table service's rows, history and counter."""

    last_version: int
    rows: dict[tuple[str, str], table.Row]
    sorted_keys: dict[str, list[str]]
    changes: list[RowChange]
    history_start: int


class MemoryTableService(table.TimedTable, feed.Feed):
    """Rows in memory; all versions, also over deletes, come from one counter."""

    def __init__(self, gate: faults.Gate) -> None:
        self.gate = gate
        self.last_version = 0
        self.rows: dict[tuple[str, str], table.Row] = {}
        self.sorted_keys: dict[str, list[str]] = {}
        self.changes: list[RowChange] = []
        # All changes after this version are still kept.
        self.history_start = 0
        self.changed = asyncio.Condition()
        # How many transactions with writes to each table have arrived.
        self.arrived: collections.Counter[str] = collections.Counter()

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        """Apply a transaction; see the base class."""
        self.arrived.update({write.table for write in transaction.writes})
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
        row = self.rows.get((table_name, key))
        return table.Reading(row, self.gate.clock(), self.last_version)

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
        """Return the changes after a version; see the base class."""
        await self.gate.admit_read()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(lambda: self.has_changes(table, since))
        self.gate.refuse_when_down()
        if not self.has_history(since):
            raise feed.HistoryLostError(
                f"the changes since {since} are gone", "Read the whole table."
            )
        return feed.Page(tuple(self.changes_after(table, since)), self.last_version)

    def has_changes(self, table: str, since: int) -> bool:
        """Tell whether a table has, or may have, changed after a version."""
        return not self.has_history(since) or bool(self.changes_after(table, since))

    def has_history(self, since: int) -> bool:
        """Tell whether all changes after a version are kept, and it was given out."""
        return self.history_start <= since <= self.last_version

    def changes_after(self, table: str, since: int) -> list[feed.Entry]:
        """Return the changes of a table after a version, in order."""
        return [
            change.entry
            for change in self.changes
            if change.table == table and change.entry.version > since
        ]

    async def discard_history(self) -> None:
        """Discard all changes so far."""
        self.changes.clear()
        self.history_start = self.last_version
        async with self.changed:
            self.changed.notify_all()

    def save(self) -> SavedTable:
        """Return a copy of all rows, the history and the counter."""
        return SavedTable(
            self.last_version,
            dict(self.rows),
            {name: list(keys) for name, keys in self.sorted_keys.items()},
            list(self.changes),
            self.history_start,
        )

    async def restore(self, saved: SavedTable) -> None:
        """Return to a copy; what was written since is lost, its versions are free."""
        self.last_version = saved.last_version
        self.rows = dict(saved.rows)
        self.sorted_keys = {name: list(k) for name, k in saved.sorted_keys.items()}
        self.changes = list(saved.changes)
        self.history_start = saved.history_start
        async with self.changed:
            self.changed.notify_all()

    def record_change(self, table: str, entry: feed.Entry) -> None:
        """Add a change to the history and discard the oldest beyond `MAX_CHANGES`."""
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
        """Return a conflict for every condition that doesn't hold."""
        conflicts = []
        for index, condition in enumerate(transaction.conditions):
            row = self.rows.get((condition.table, condition.key))
            if not condition_holds(condition, row):
                conflicts.append(table.Conflict(index, row))
        return tuple(conflicts)

    def apply(self, write: table.Put | table.Delete) -> None:
        """Apply one write at the current version, that of its transaction."""
        row_id = (write.table, write.key)
        keys = self.sorted_keys.setdefault(write.table, [])
        if isinstance(write, table.Put):
            if row_id not in self.rows:
                bisect.insort(keys, write.key)
            self.rows[row_id] = table.Row(
                write.table, write.key, write.value, self.last_version
            )
            entry = feed.Entry(write.key, write.value, self.last_version)
            self.record_change(write.table, entry)
        elif self.rows.pop(row_id, None) is not None:
            del keys[bisect.bisect_left(keys, write.key)]
            self.record_change(
                write.table, feed.Entry(write.key, None, self.last_version)
            )


def condition_holds(
    condition: table.Absent | table.VersionIs, row: table.Row | None
) -> bool:
    """Tell whether a condition holds for the current row."""
    if isinstance(condition, table.Absent):
        return row is None
    return row is not None and row.version == condition.version


class MemoryObjectStore(objects.ObjectStore):
    """An object store in memory."""

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
    """A change of the list: its time and the new entry, None for a removal."""

    at: float
    name: str
    entry: instances.ListedInstance | None


class MemoryInstanceList(instances.InstanceList):
    """An instance list in memory that shows each change after the injected lag."""

    def __init__(self, gate: faults.Gate) -> None:
        self.gate = gate
        self.merged: dict[str, instances.ListedInstance] = {}
        self.changes: list[ListChange] = []

    async def listed(self) -> tuple[instances.ListedInstance, ...]:
        """Return the entries as of one lag ago; see the base class."""
        await self.gate.admit_read()
        shown_until = self.gate.clock() - self.gate.faults.list_lag
        entries = dict(self.merged)
        for change in self.changes:
            if change.at <= shown_until:
                merge(entries, change)
        return tuple(entries[name] for name in sorted(entries))

    def forget_own(self) -> None:
        """See InstanceList; tests register the entries."""

    def register(self, entry: instances.ListedInstance) -> None:
        """Add an entry, or replace the one with its name."""
        self.record(entry.name, entry)

    def remove(self, name: str) -> None:
        """Remove an entry; no error when it's absent."""
        self.record(name, None)

    def record(self, name: str, entry: instances.ListedInstance | None) -> None:
        """Append a change, and merge those older than the maximum lag."""
        now = self.gate.clock()
        self.changes.append(ListChange(now, name, entry))
        while self.changes[0].at < now - MAX_LIST_LAG:
            merge(self.merged, self.changes.pop(0))


def merge(entries: dict[str, instances.ListedInstance], change: ListChange) -> None:
    """Apply a change to a mapping of entries by name."""
    if change.entry is None:
        entries.pop(change.name, None)
    else:
        entries[change.name] = change.entry


class MemoryPlatform:
    """The platform's four services with one common set of faults."""

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
        """The faults injected at present; may be changed in place or replaced."""
        return self.gate.faults

    @faults.setter
    def faults(self, changed: faults.Faults) -> None:
        self.gate.faults = changed

    @property
    def read_count(self) -> int:
        """Number of reads admitted since the start, including those of the list."""
        return self.gate.reads.count

    @property
    def write_count(self) -> int:
        """Number of writes admitted since the start, including failed conditions."""
        return self.gate.writes.count
