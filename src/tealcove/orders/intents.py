"""Persistent record of a pool's open orders, in the platform's table.

One row for each pool holds the fencing number of the current steward and the
orders that may still be carried out. Every write is conditional on the row that the
writer last wrote. So once a new steward has written the row, its predecessor can't
record another order.
"""

from __future__ import annotations

import asyncio

import msgspec

from tealcove import decoding, errors, ids
from tealcove.backends import engine
from tealcove.storage import table

TABLE = "intents"
ATTEMPTS = 3


class ReplacedError(errors.PlatformError):
    """Another steward has taken over the pool's orders."""


class Intent(msgspec.Struct, frozen=True):
    """An order that is about to be sent, or was sent with its outcome unknown."""

    order: engine.Order


class Record(msgspec.Struct, frozen=True):
    """Content of the row."""

    number: ids.FencingNumber
    open: dict[ids.BackendServerId, Intent]


class Intents:
    """One steward's copy of the row of one pool."""

    def __init__(self, rows: table.TableService, pool: ids.PoolId) -> None:
        self.rows = rows
        self.pool = pool
        self.number = ids.FencingNumber(0)
        self.row: table.Row | None = None
        self.open: dict[ids.BackendServerId, Intent] = {}
        # Until when each engine may still carry out an order with an unknown outcome.
        self.unsettled: dict[ids.BackendServerId, ids.Instant] = {}
        # Each of two concurrent writes would fail the condition of the other.
        self.lock = asyncio.Lock()

    async def take_over(
        self, number: ids.FencingNumber, now: ids.Instant, longest_order: float
    ) -> None:
        """Take the row over under a number; raises ReplacedError, PlatformError.

        Open orders may still be carried out for as long as the longest order takes,
        counted from now on.
        """
        async with self.lock:
            self.row = await self.rows.read(TABLE, self.pool)
            record = Record(ids.FencingNumber(0), {})
            if self.row is not None:
                record = decode(self.row)
            if record.number > number:
                raise replaced(self.pool, record.number)
            await self.write_first(number, record.open)
            until = ids.Instant(now + longest_order)
            self.unsettled = dict.fromkeys(record.open, until)

    async def write_first(
        self, number: ids.FencingNumber, found: dict[ids.BackendServerId, Intent]
    ) -> None:
        """Write the row under a number; keep the number only if that succeeds."""
        self.number = number
        try:
            await self.write(found)
        except BaseException:
            self.number = ids.FencingNumber(0)
            raise

    def inherited(self) -> frozenset[ids.BackendServerId]:
        """Return the engines with an open order of a predecessor."""
        return frozenset(
            server
            for server, found in self.open.items()
            if found.order.fencing < self.number
        )

    async def begin(self, server: ids.BackendServerId, order: engine.Order) -> None:
        """Record an order before it's sent; raises as `write` does."""
        async with self.lock:
            await self.write({**self.open, server: Intent(order)})

    def mark_unsettled(self, server: ids.BackendServerId, until: ids.Instant) -> None:
        """Note that an order may still be carried out until an instant."""
        self.unsettled[server] = until

    async def end(self, server: ids.BackendServerId) -> None:
        """Clear an engine's order, which can't be carried out any more."""
        self.unsettled.pop(server, None)
        async with self.lock:
            rest = {name: found for name, found in self.open.items() if name != server}
            await self.write(rest)

    async def settle(self, now: ids.Instant) -> None:
        """Clear the orders whose time limit has passed; raises as `write` does."""
        for server, until in list(self.unsettled.items()):
            if now >= until:
                await self.end(server)

    async def write(self, open_orders: dict[ids.BackendServerId, Intent]) -> None:
        """Write the row; raises ReplacedError or PlatformError."""
        value = msgspec.json.encode(Record(self.number, open_orders))
        for _ in range(ATTEMPTS):
            try:
                self.row = await table.replace(
                    self.rows, self.row, TABLE, self.pool, value
                )
            except table.ConditionFailedError as error:
                self.adopt_row(error.conflicts[0].row)
            except errors.OutcomeUnknownError:
                self.adopt_row(await self.rows.read(TABLE, self.pool))
            if self.row is not None and self.row.value == value:
                self.open = open_orders
                return
        raise errors.PlatformUnavailableError(
            f"the orders of pool {self.pool} couldn't be recorded",
            "No order was sent; it will be retried.",
        )

    def adopt_row(self, row: table.Row | None) -> None:
        """Adopt the current row, unless it's another steward's.

        A write whose reply was lost may have been applied: then the row is ours.
        """
        found = ids.FencingNumber(0) if row is None else decode(row).number
        known = ids.FencingNumber(0) if self.row is None else decode(self.row).number
        if found not in (known, self.number):
            raise replaced(self.pool, found)
        self.row = row


def replaced(pool: ids.PoolId, number: ids.FencingNumber) -> ReplacedError:
    """Return the error for a row that another steward has taken over."""
    return ReplacedError(
        f"the orders of pool {pool} are under number {number}",
        "Leave them to that steward.",
    )


def decode(row: table.Row) -> Record:
    """Return the record in a row; raises PlatformError."""
    try:
        return decoding.decode_json(row.value, Record)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(
            f"the orders of pool {row.key} can't be decoded: {error}",
            "Find out who wrote the row, and delete it when no order is in flight.",
        ) from error
