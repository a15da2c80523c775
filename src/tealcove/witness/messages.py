"""Messages between entries and the instances that hold their records."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.peers import message


class RequestKey(msgspec.Struct, frozen=True, array_like=True):
    """The account and idempotency key of a request, the same for every attempt."""

    account: ids.AccountId
    key: ids.IdempotencyKey


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The server and the entry of a running request; neither prompt nor answer."""

    # Digest of method, path and body: the key may be reused for another request.
    fingerprint: str
    # The engine's id of the run.
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
    """Asks to store a record for some seconds, or until the request has ended."""

    request_key: RequestKey
    record: Record
    seconds: float


class DeleteRecord(message.Message, tag="Dropped"):
    """Asks to delete a record, because its request has ended."""

    request_key: RequestKey
    request_id: ids.RequestId


class RecordQuery(message.Message, tag="Asked"):
    """Asks for a record; also sent to a record's entry, to check that it's alive."""

    query_number: int
    request_key: RequestKey


class RecordReply(message.Message, tag="Told"):
    """The reply to a query, with the process that sent it."""

    query_number: int
    incarnation: ids.Incarnation
    record: Record | None
