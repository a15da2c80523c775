"""Abstract base class for sending calls to backend servers."""

from __future__ import annotations

import abc
from collections.abc import AsyncGenerator, Callable

import msgspec

from tealcove import errors, ids
from tealcove.backends import engine
from tealcove.dispatch import messages, statements
from tealcove.ingress import call

# Seconds to the deadline below which another attempt is pointless.
MIN_REMAINING = 0.05
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
REJECTION_STATUSES = (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE)


class NotRunError(errors.BackendError):
    """The backend server responded that it hasn't run the request, and won't."""

    def __init__(
        self,
        server: ids.BackendServerId,
        status: int,
        statement: statements.Statement = statements.NOTHING,
    ) -> None:
        super().__init__(
            f"{server} responded with status {status}: not run",
            "Send it to another server.",
        )
        self.status = status
        self.statement = statement

    @property
    def is_rejection(self) -> bool:
        """Whether the server had no room; otherwise it wasn't the server meant."""
        return self.status in REJECTION_STATUSES


class PathTrace(msgspec.Struct):
    """Which instances reached the server of one attempt, and which failed to."""

    lost: list[ids.InstanceId] = []
    # The instance whose connection was used, and when it was made.
    reached: ids.InstanceId | None = None
    reached_at: ids.Instant = ids.Instant(0.0)


class OutboundRequest(msgspec.Struct, frozen=True):
    """One attempt to send a call to one server."""

    call: call.Call
    server: engine.Server
    # The slot that the attempt holds.
    grant: messages.Grant
    # Filled in by the link.
    trace: PathTrace
    # None for callers of public routes.
    account: ids.AccountId | None
    # When the deadline is.
    deadline: ids.Instant
    # Number of the last event that the caller received; None for a new stream.
    last_event: int | None
    # Whether the granted server goes on from the copy that it has of the run.
    is_continued: bool = False

    def remaining(self, now: ids.Instant) -> float:
        """Return the seconds until the deadline, or a little more than none."""
        return max(MIN_REMAINING, self.deadline - now)

    @property
    def copy_to(self) -> str | None:
        """The address that the run is copied to; None: there is no copy."""
        grant = self.grant
        if grant.copy_server is None:
            return None
        return f"{grant.copy_host}:{grant.copy_port}"

    @property
    def copy_from(self) -> str | None:
        """The address and the id of the copy to go on from; None: a new run."""
        if not self.is_continued:
            return None
        return f"{self.grant.host}:{self.grant.port}/{self.call.request_id}"

    def is_over(self, now: ids.Instant) -> bool:
        """Tell whether it is too late for another way to the server."""
        return self.deadline - now <= MIN_REMAINING


class Head(msgspec.Struct, frozen=True):
    """Status and headers of a backend server's response."""

    status: int
    # Headers that are returned to the caller.
    headers: call.Headers
    statement: statements.Statement = statements.NOTHING
    # The announced length of the body in bytes; None: it isn't known.
    length: int | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.status < 300


class BackendLink(abc.ABC):
    """Sends calls to backend servers."""

    @abc.abstractmethod
    def send(
        self, outbound: OutboundRequest, dispatched: Callable[[], None]
    ) -> AsyncGenerator[Head | bytes, None]:
        """Send a call once; yield the head of the response, then its body in parts.

        Calls `dispatched` right before the first byte is written. Raises
        engine.NotDispatchedError if the server certainly got nothing, NotRunError,
        engine.WrongAnswerError for a response that isn't this request's, or
        engine.BrokenStreamError if the response is missing or incomplete.
        """

    @abc.abstractmethod
    async def refuses_connections(self, outbound: OutboundRequest) -> bool:
        """Tell whether the server of an attempt that broke off has no process."""

    @abc.abstractmethod
    async def is_replaced(self, outbound: OutboundRequest) -> bool:
        """Tell whether another incarnation answers in place of an attempt's server."""
