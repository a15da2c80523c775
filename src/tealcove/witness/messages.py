"""Messages between entries and the instances that keep their records."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.peers import message


class RequestKey(msgspec.Struct, frozen=True, array_like=True):
    """What a caller names a request by, the same however often it sends it."""

    account: ids.AccountId
    key: ids.IdempotencyKey


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Where a request runs and for whom; nothing of its prompt or answer."""

    # Of method, path and body: a key may come back with another request.
    fingerprint: str
    # The id under which the engine knows the run.
    request_id: ids.RequestId
    # The ticket that holds the run's slot, and the cell of its dispatcher.
    ticket_id: ids.TicketId
    cell: ids.CellId
    server: ids.BackendServerId
    host: str
    port: int
    entry: ids.InstanceId
    incarnation: ids.Incarnation


class StoreRecord(message.Message, tag="Left"):
    """Keep a record for so many seconds, or until the request has ended."""

    request_key: RequestKey
    record: Record
    seconds: float


class DeleteRecord(message.Message, tag="Dropped"):
    """The request has ended at its entry."""

    request_key: RequestKey
    request_id: ids.RequestId


class RecordQuery(message.Message, tag="Asked"):
    """Is there a record? Also asked of a record's entry, to see if it lives."""

    query_number: int
    request_key: RequestKey


class RecordReply(message.Message, tag="Told"):
    """The answer, and which process gave it."""

    query_number: int
    incarnation: ids.Incarnation
    record: Record | None
