"""Messages between an entry and the dispatcher of a cell."""

from __future__ import annotations

import enum

from tealcove import ids
from tealcove.peers import message


class RefusalReason(enum.Enum):
    """Why a request wasn't run; part of the answer that callers get."""

    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_BACKEND_SERVER = "no_backend_server"
    NO_DISPATCHER = "no_dispatcher"
    QUARANTINED = "quarantined"
    ACCOUNT_LIMIT = "account_limit"
    PLATFORM_DOWN = "platform_down"
    LEAVING = "leaving"
    NOT_READY = "not_ready"


class Outcome(enum.Enum):
    """How a dispatched request ended, as the entry saw it."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"
    # The connection broke and the backend server can't be reached any more.
    CRASHED = "crashed"
    # Nothing was sent: the slot is free again and the server wasn't reached.
    NOT_SENT = "not_sent"


class Ticket(message.Message):
    """A request's place in the queue of a cell; it carries no prompt."""

    ticket_id: ids.TicketId
    request_id: ids.RequestId
    cell: ids.CellId
    entry: ids.InstanceId
    tier_rank: int
    account: ids.AccountId
    idempotent: bool
    prompt_tokens: int
    # An upper bound, from the caller's `max_tokens`.
    output_tokens: int
    # Hashes of the prompt's blocks; see `tealcove.backends.prefixes`.
    prefix: tuple[int, ...]
    # Seconds until the caller's deadline, when the ticket was sent.
    remaining: float
    model: str = ""
    adapter: str | None = None
    # Seconds that it has waited already, when it's sent to another dispatcher.
    waited: float = 0.0
    # The content's digest, by which crashing requests are known again.
    digest: str = ""
    # Servers that couldn't be reached for this request.
    excluded: tuple[ids.BackendServerId, ...] = ()
    # Set when the request already runs there, and a new dispatcher is told.
    running_on: ids.BackendServerId | None = None
    # The trace that it's a hop of; empty when that isn't recorded.
    traceparent: str = ""
    # Seconds until the caller hopes for the answer, or a stream's first event;
    # 0: it has named no such goal.
    goal: float = 0.0
    # Seconds until the caller leaves if no event of its stream has come by then;
    # 0: it waits to its deadline.
    patience: float = 0.0
    # The rank of its kind within the tier; 0 is the most urgent.
    urgency: int = 0
    # Output tokens that are likely; 0: not known.
    expected_tokens: int = 0
    # Seconds until the caller itself gives up, by its own word; 0: it hasn't said.
    caller_remaining: float = 0.0
    # The start of the server in `running_on`, as the grant named it.
    running_start: ids.ServerStart = ids.NO_START
    # Where the entry is; empty: it doesn't matter.
    data_centre: ids.DataCentreId = ids.DataCentreId("")
    # The route's name.
    route: str = ""


class Queued(message.Message):
    """The dispatcher has the ticket; a grant or a refusal will follow."""

    ticket_id: ids.TicketId


class Grant(message.Message):
    """A slot of a backend server, for this ticket alone."""

    ticket_id: ids.TicketId
    cell: ids.CellId
    server: ids.BackendServerId
    host: str
    port: int
    # Nothing else runs on the server: the request is suspected of a crash.
    alone: bool = False
    # Predicted seconds to the first event, or to a call's answer; 0: not known.
    first_seconds: float = 0.0
    # Which start of the server the slot is of.
    start: ids.ServerStart = ids.NO_START
    # The revision of the pool that the dispatcher decided by.
    revision: ids.Revision = ids.Revision(0)


class Refusal(message.Message):
    """The dispatcher's final word that the request won't get a slot."""

    ticket_id: ids.TicketId
    reason: RefusalReason
    # Seconds after which a retry is worth while.
    retry_after: float


class Preempt(message.Message):
    """Stop a running request, so that a higher tier's isn't shed."""

    ticket_id: ids.TicketId
    retry_after: float


class Withdrawal(message.Message):
    """The entry no longer wants a slot, or gives a grant back unused."""

    ticket_id: ids.TicketId
    cell: ids.CellId


class Progress(message.Message):
    """The first token of a request has come."""

    ticket_id: ids.TicketId
    cell: ids.CellId
    first_token_seconds: float


class Done(message.Message):
    """A dispatched request has ended and its slot is free."""

    ticket_id: ids.TicketId
    cell: ids.CellId
    server: ids.BackendServerId
    outcome: Outcome
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    first_token_seconds: float
    total_seconds: float
    # Which start of the server the request was granted.
    start: ids.ServerStart = ids.NO_START
