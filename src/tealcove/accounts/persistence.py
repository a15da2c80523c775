"""Orders in the platform's store, one row an account."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import logbook
import msgspec

from tealcove import decoding, errors, ids
from tealcove.accounts import orders
from tealcove.storage import table

log = logbook.Logger("accounts")

TABLE = "account_weights"
# The maximum of rows that are read, and of accounts with an order.
MAX_ROWS = 1000
# The maximum of rows in one transaction.
WRITE_ROWS = 32
# How often an order is tried while others for the account come first.
MAX_ATTEMPTS = 4
# How often a write is sent again whose reply was lost.
MAX_RESENDS = 2
# Revisions are signed integers of 64 bits; beyond this one, none would be left.
MAX_REVISION = 2**62

StoredWeight = Annotated[float, msgspec.Meta(gt=0, le=orders.MAX_WEIGHT)]
StoredRevision = Annotated[int, msgspec.Meta(ge=1, le=MAX_REVISION)]


class StoredOrder(msgspec.Struct, frozen=True):
    """An order as stored in the row of its account."""

    # None: taken back.
    weight: StoredWeight | None
    revision: StoredRevision


class OrderRows:
    """Reads and writes the rows.

    The revision of an order is one above the revision of the whole store when its row
    was read, and the row is written only if it is unchanged since then. So it is above
    that of every order for the account that was accepted before, also if the row was
    deleted or can't be read, and no two orders have the same. The store's revisions go
    on rising when it returns from a copy, see storage.revisions.
    """

    def __init__(self, rows: table.TimedTable) -> None:
        self.rows = rows

    async def load(self) -> list[orders.WeightOrder]:
        """Return all orders that can be read; raises PlatformUnavailableError."""
        found = [decode(row) for row in await self.rows.scan(TABLE, limit=MAX_ROWS)]
        return [order for order in found if order is not None]

    async def write(
        self, account: ids.AccountId, weight: float | None, known: int
    ) -> orders.WeightOrder:
        """Store an order and return it with its revision.

        `known` is the newest revision for the account that this instance knows. Raises
        PlatformUnavailableError if nothing was changed, and OutcomeUnknownError.
        """
        found = await self.rows.read_at(TABLE, account)
        for _ in range(MAX_ATTEMPTS):
            revision = 1 + max(known, found.version, stored_revision(found.row))
            order = orders.WeightOrder(account, weight, revision)
            try:
                await self.put(order, found.row)
            except table.ConditionFailedError as error:
                current = error.conflicts[0].row
                if current is not None and decode(current) == order:
                    # It was applied when its reply was lost.
                    return order
                found = await self.rows.read_at(TABLE, account)
                continue
            return order
        raise errors.PlatformUnavailableError(
            f"other orders for {account} came first", "Look at it, and order again."
        )

    async def write_missing(self, known: Iterable[orders.WeightOrder]) -> None:
        """Write the orders that the store lacks; raises PlatformError.

        A row that changes meanwhile fails the whole transaction, and the caller tries
        again.
        """
        rows = {row.key: row for row in await self.rows.scan(TABLE, limit=MAX_ROWS)}
        missing = [
            order
            for order in known
            if order.revision > stored_revision(rows.get(order.account))
        ]
        for start in range(0, len(missing), WRITE_ROWS):
            written = missing[start : start + WRITE_ROWS]
            conditions = tuple(
                table.unchanged(rows.get(order.account), TABLE, order.account)
                for order in written
            )
            puts = tuple(
                table.Put(TABLE, order.account, encode(order)) for order in written
            )
            await self.rows.commit(table.Transaction(conditions, puts))

    async def put(self, order: orders.WeightOrder, row: table.Row | None) -> None:
        """Write an order's row if it is unchanged.

        A write whose reply was lost is sent again: under the same condition it can't be
        applied twice, and the answer tells whether it was.
        """
        content = encode(order)
        lost: errors.OutcomeUnknownError | None = None
        for _ in range(1 + MAX_RESENDS):
            try:
                await table.replace(self.rows, row, TABLE, order.account, content)
            except errors.OutcomeUnknownError as error:
                log.info("no reply to an order for {}: {}", order.account, error)
                lost = error
            except errors.PlatformUnavailableError:
                if lost is None:
                    raise
            else:
                return
        raise lost


def encode(order: orders.WeightOrder) -> bytes:
    """Return the content of an order's row."""
    return msgspec.json.encode(StoredOrder(order.weight, order.revision))


def decode(row: table.Row) -> orders.WeightOrder | None:
    """Return the order in a row, or None if it can't be read."""
    try:
        stored = decoding.decode_json(row.value, StoredOrder)
    except msgspec.MsgspecError as error:
        problem = f"row {row.key} of table {TABLE}: {error}"
        log.warning("{}", orders.unusable(row.key, problem))
        return None
    return orders.WeightOrder(ids.AccountId(row.key), stored.weight, stored.revision)


def stored_revision(row: table.Row | None) -> int:
    """Return the revision of the order in a row; 0: there is none."""
    order = None if row is None else decode(row)
    return 0 if order is None else order.revision
