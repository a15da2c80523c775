"""Roll-out orders and their status, as rows of the store."""

from __future__ import annotations

import msgspec

from tealcove import decoding, errors, ids
from tealcove.platform import documents, names, storeadapter
from tealcove.rollout import order
from tealcove.storage import revisions, table

STATE_BY_VALUE = {state.value: state for state in order.State}


class WireOrder(msgspec.Struct):
    """A roll-out order as the operator writes it."""

    service: str
    to: str
    period_s: float


class WireStatus(msgspec.Struct, omit_defaults=True):
    """The status as the operator reads it; the fields after `to` are internal."""

    state: str
    to: str
    order: int = 0
    began_s: float = 0.0
    reason: str = ""
    # The era of `order`, the row version of the order.
    era: int = 0


class StoreOrders(order.OrderStore):
    """Stores roll-out orders and their status per service."""

    def __init__(self, rows: storeadapter.StoreTable) -> None:
        self.rows = rows

    async def read(self, service: ids.PoolId) -> order.Snapshot:
        """See OrderStore."""
        key = names.ROLLOUT_KEY + service
        reading = await self.rows.read_at(names.OPERATOR_TABLE, key)
        newest = ids.Revision(reading.version)
        if reading.row is None:
            return order.Snapshot(None, None, None, reading.seconds, newest)
        stored = await self.rows.read_at(names.STATUS_TABLE, key)
        status = None if stored.row is None else status_of(stored.row)
        found = order_of(service, reading.row)
        return order.Snapshot(found, status, stored.row, reading.seconds, newest)

    async def write_status(
        self, service: ids.PoolId, status: order.Status, snapshot: order.Snapshot
    ) -> None:
        """See OrderStore."""
        wire = WireStatus(
            state=status.state.value,
            to=status.to,
            order=revisions.number_of(status.revision),
            began_s=status.began,
            reason=status.reason,
            era=revisions.era_of(status.revision),
        )
        await table.replace(
            self.rows,
            snapshot.stored,
            names.STATUS_TABLE,
            names.ROLLOUT_KEY + service,
            msgspec.json.encode(wire),
        )


def order_of(service: ids.PoolId, row: table.Row) -> order.Order:
    """Return an order; an invalid one has an empty target version."""
    revision = ids.Revision(row.version)
    try:
        found = documents.decode(row.value, WireOrder)
    except errors.PlatformError:
        return order.Order(service, "", 0.0, revision)
    return order.Order(service, found.to, found.period_s, revision)


def status_of(row: table.Row) -> order.Status | None:
    """Return a status; None if this system didn't write the row."""
    try:
        found = decoding.decode_json(row.value, WireStatus)
    except msgspec.MsgspecError:
        return None
    state = STATE_BY_VALUE.get(found.state)
    if state is None:
        return None
    revision = revisions.revision_of(ids.Era(found.era), found.order)
    return order.Status(
        found.to, state, ids.Revision(revision), found.began_s, found.reason
    )
