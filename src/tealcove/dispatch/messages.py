"""Messages between entries and the dispatcher of a cell."""

from __future__ import annotations

import enum
import math

import msgspec

from tealcove import ids
from tealcove.peers import message


class RefusalReason(enum.Enum):
    """Why a request wasn't run; included in the response to the caller."""

    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_BACKEND_SERVER = "no_backend_server"
    NO_DISPATCHER = "no_dispatcher"
    QUARANTINED = "quarantined"
    ACCOUNT_LIMIT = "account_limit"
    PLATFORM_DOWN = "platform_down"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    # Decided by entries only, since an older instance doesn't know these.
    VERSION_UNKNOWN = "version_unknown"
    VERSION_GONE = "version_gone"
    INSTANCE_OVERLOADED = "instance_overloaded"


class Outcome(enum.Enum):
    """How a dispatched request ended, as observed by the entry."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"
    # The connection broke and the backend server is no longer reachable.
    CRASHED = "crashed"
    # Nothing was sent, since the server couldn't be reached; the slot is free again.
    NOT_SENT = "not_sent"


class ServerStatement(msgspec.Struct, frozen=True, array_like=True):
    """What the answers of a backend server to one instance have stated.

    A new field must come last and have a default; see peers.message.Message.
    """

    server: ids.BackendServerId
    # The start of the server that answered.
    start: ids.ServerStart
    # Requests a second from all instances together; None: no limit any more.
    rate: float | None
    # Seconds since the answer that stated the limit; infinite if none did.
    age: float = 0.0
    # Whether the server leaves, for good.
    is_leaving: bool = False
    # Seconds for which it wants no more requests from this instance; 0: none.
    rest: float = 0.0
    # Requests that it may reject in a second before it falls over; None: any number.
    rejection_limit: float | None = None
    # Seconds since the answer that stated that; infinite if none did.
    rejection_limit_age: float = math.inf


class StatedLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load that a backend server states in the head of a response.

    A new field must come last and have a default; see peers.message.Message.
    """

    # Requests, of all instances together.
    running: float
    waiting: float
    slots: float
    # How long work takes on the server at this moment; 1 is normal, None: not stated.
    time_factor: float | None = None


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
    # Seconds that it has waited so far, when it's sent to another dispatcher.
    waited: float = 0.0
    # The content's digest, which identifies requests that crash their server.
    digest: str = ""
    # Servers that couldn't be reached for this request.
    excluded: tuple[ids.BackendServerId, ...] = ()
    # Where the request already runs, when its ticket is sent to a new dispatcher.
    running_on: ids.BackendServerId | None = None
    # The trace that it belongs to; empty if that isn't recorded.
    traceparent: str = ""
    # Seconds until the caller wants the answer, or a stream's first event; 0: no goal.
    goal: float = 0.0
    # Seconds until the caller disconnects if it has received no event of its stream;
    # 0: it waits until its deadline.
    patience: float = 0.0
    # The rank of its kind within the tier; 0 is the most urgent.
    urgency: int = 0
    # Expected output tokens; 0: unknown.
    expected_tokens: int = 0
    # Seconds until the caller gives up, as stated in its request; 0: not stated.
    caller_remaining: float = 0.0
    # The start of the server in `running_on`, from the grant.
    running_start: ids.ServerStart = ids.NO_START
    # The entry's data centre; empty: no preference.
    data_centre: ids.DataCentreId = ids.DataCentreId("")
    # Name of the route.
    route: str = ""
    # What the servers of the pool have stated to the entry.
    statements: tuple[ServerStatement, ...] = ()
    # The software version that began its stream, and must go on with it; None: any.
    version: ids.SoftwareVersion | None = None
    # The parts of its prompt that other requests may share, in order.
    parts: tuple[ids.PartId, ...] = ()
    # Whether its entry reads notices of what is refused; an older one can't.
    takes_notices: bool = False
    # Longest pause in seconds between two events that its route allows; 0: any.
    gap: float = 0.0
    # The length of the request's body in bytes; 0: not stated.
    body_bytes: int = 0
    # Output tokens in each event of its stream.
    event_tokens: int = 1
    # The account's share of the slots beside that of others, above 0; None: 1, which
    # takes a byte in place of nine.
    weight: float | None = None
    # Whether its run should be copied to a second server: it is a stream that no other
    # run can go on with.
    wants_copy: bool = False
    # The only server that may run it, since that has the copy of its interrupted run;
    # while it runs, the server that keeps its copy. None: any server, no copy.
    copy_at: ids.BackendServerId | None = None

    def may_run_on(self, version: ids.SoftwareVersion) -> bool:
        """Return whether a server of a software version may run the request."""
        return self.version is None or self.version == version


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
    # Nothing else runs on the server, since the request is suspected of a crash.
    alone: bool = False
    # Predicted seconds to the first event, or to a call's answer; 0: unknown.
    first_seconds: float = 0.0
    # The start of the server that the slot belongs to.
    start: ids.ServerStart = ids.NO_START
    # The revision of the pool that the decision is based on.
    revision: ids.Revision = ids.Revision(0)
    # The server's limit in requests a second, by the dispatcher's knowledge.
    request_limit: float | None = None
    # The software version of the server; None: not stated.
    version: ids.SoftwareVersion | None = None
    # The server that the run is copied to, and its address; None: there is no copy.
    copy_server: ids.BackendServerId | None = None
    copy_host: str = ""
    copy_port: int = 0


class Refusal(message.Message):
    """The dispatcher's final decision not to run the request."""

    ticket_id: ids.TicketId
    reason: RefusalReason
    # Seconds after which a retry is worthwhile.
    retry_after: float
    # Slot seconds reserved for its caller's return at that time; 0: none.
    promised_seconds: float = 0.0


class PromisedReturn(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A time at which a refused caller was told to return; times from the sending.

    A new field must come last and have a default; see peers.message.Message.
    """

    # What is the same in each retry of the request.
    digest: str
    prompt_tokens: int
    output_tokens: int
    tier_rank: int
    urgency: int
    account: ids.AccountId
    # For how long its slot is reserved.
    slot_seconds: float
    # Seconds until its caller gives up, until its goal, and until the promised time.
    ends_in: float
    goal_in: float
    due_in: float


class PromisedReturns(message.Message):
    """Returns that another dispatcher of the cell has promised."""

    cell: ids.CellId
    returns: tuple[PromisedReturn, ...]


def shifted(promised: PromisedReturn, seconds: float) -> PromisedReturn:
    """Return a promised return with its times as of some seconds later."""
    return msgspec.structs.replace(
        promised,
        ends_in=promised.ends_in - seconds,
        goal_in=promised.goal_in - seconds,
        due_in=promised.due_in - seconds,
    )


class Preempt(message.Message):
    """Stop a running request, so that a higher tier's isn't shed."""

    ticket_id: ids.TicketId
    retry_after: float


class Withdrawal(message.Message):
    """The entry no longer needs a slot, or returns an unused grant."""

    ticket_id: ids.TicketId
    cell: ids.CellId


class Progress(message.Message):
    """The first token of a request was received."""

    ticket_id: ids.TicketId
    cell: ids.CellId
    first_token_seconds: float
    # The server, and the instance whose connection to it is used; empty: not stated.
    server: ids.BackendServerId = ids.BackendServerId("")
    reached: ids.InstanceId = ids.InstanceId("")
    # The load that the head of the response stated, and its age in seconds.
    load: StatedLoad | None = None
    load_age: float = 0.0


class StatementReport(message.Message, tag="LimitReport"):
    """A server's answer to the entry stated what the dispatcher may not know."""

    cell: ids.CellId
    stated: ServerStatement


class PathReport(message.Message):
    """A request is served by a server that some instances failed to reach."""

    cell: ids.CellId
    server: ids.BackendServerId
    # The instance that reached it, and those that failed to.
    reached: ids.InstanceId
    lost: tuple[ids.InstanceId, ...]
    # Seconds since it was reached.
    age: float


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
    # The start of the server that the grant was for.
    start: ids.ServerStart = ids.NO_START
    # The instance that reached the server; empty: not stated.
    reached: ids.InstanceId = ids.InstanceId("")
    # The instances that failed to reach it; empty: not stated.
    lost: tuple[ids.InstanceId, ...] = ()
    # Whether the server rejected the request, which it hasn't run.
    is_rejected: bool = False
    # Whether the answer is a success, and whole.
    is_success: bool = False
    # The load that the head of the response stated, and its age in seconds.
    load: StatedLoad | None = None
    load_age: float = 0.0

    @property
    def writing_seconds(self) -> float:
        """Return the seconds from the first token to the end."""
        return self.total_seconds - self.first_token_seconds
