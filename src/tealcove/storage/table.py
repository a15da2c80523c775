"""The platform's transactional table service, as an abstract base class."""

from __future__ import annotations

import abc

import msgspec

from tealcove import errors


class Row(msgspec.Struct, frozen=True):
    """A stored row; `version` increases with each write and is never reused."""

    table: str
    key: str
    value: bytes
    version: int


class Absent(msgspec.Struct, frozen=True, tag="absent"):
    """Condition: no row has this key."""

    table: str
    key: str


class VersionIs(msgspec.Struct, frozen=True, tag="version_is"):
    """Condition: the row exists at exactly this version."""

    table: str
    key: str
    version: int


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Write a row, whether or not it exists."""

    table: str
    key: str
    value: bytes


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Delete a row; no error when it's absent."""

    table: str
    key: str


class Transaction(msgspec.Struct, frozen=True):
    """Writes that apply atomically, or not at all if a condition fails."""

    conditions: tuple[Absent | VersionIs, ...]
    writes: tuple[Put | Delete, ...]


class Committed(msgspec.Struct, frozen=True):
    """The version of all rows that the transaction wrote."""

    version: int


class Reading(msgspec.Struct, frozen=True):
    """A row, or None, and the time of the table service's clock in seconds."""

    row: Row | None
    seconds: float
    # The newest version of the whole table service at that time; 0: unknown.
    version: int = 0


class Conflict(msgspec.Struct, frozen=True):
    """A failed condition: its index and the current row."""

    index: int
    row: Row | None


class ConditionFailedError(errors.PlatformError):
    """Conditions failed; nothing was written. `conflicts` names every one."""

    def __init__(self, conflicts: tuple[Conflict, ...]) -> None:
        super().__init__(
            f"{len(conflicts)} conditions of the transaction failed",
            "Read the rows again and decide anew.",
        )
        self.conflicts = conflicts


class TableService(abc.ABC):
    """Rows by table and key, with conditional transactions over many rows."""

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> Committed:
        """Apply a transaction.

        Raises ConditionFailedError, PlatformUnavailableError (certainly not
        applied) or OutcomeUnknownError (may have been applied).
        """

    @abc.abstractmethod
    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None; raises PlatformUnavailableError."""

    @abc.abstractmethod
    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Return at most `limit` rows in key order, with keys greater than `after`."""


class TimedTable(TableService):
    """A table service that returns the time of its clock with a row."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None; see the base class."""
        return (await self.read_at(table, key)).row

    @abc.abstractmethod
    async def read_at(self, table: str, key: str) -> Reading:
        """Return a row and the time; raises PlatformUnavailableError."""


def unchanged(row: Row | None, table: str, key: str) -> Absent | VersionIs:
    """Return the condition that a row, or its absence (None), is unchanged."""
    if row is None:
        return Absent(table, key)
    return VersionIs(table, key, row.version)


async def replace(
    rows: TableService, row: Row | None, table: str, key: str, value: bytes
) -> Row:
    """Write a row if it's unchanged since it was read, and return it.

    Raises the same errors as `TableService.commit`.
    """
    condition = unchanged(row, table, key)
    put = Put(table, key, value)
    done = await rows.commit(Transaction((condition,), (put,)))
    return Row(table, key, value, done.version)
