"""Abstract base class for sending calls to backend servers."""

from __future__ import annotations

import abc
from collections.abc import AsyncGenerator, Callable

import msgspec

from tealcove import errors, ids
from tealcove.backends import engine
from tealcove.dispatch import statements
from tealcove.ingress import call


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


class OutboundRequest(msgspec.Struct, frozen=True):
    """One attempt to send a call to one server."""

    call: call.Call
    server: engine.Server
    # None for callers of public routes.
    account: ids.AccountId | None
    # Seconds until the deadline.
    remaining: float
    # Number of the last event that the caller received; None for a new stream.
    last_event: int | None


class Head(msgspec.Struct, frozen=True):
    """Status and headers of a backend server's response."""

    status: int
    # Headers that are returned to the caller.
    headers: call.Headers
    statement: statements.Statement = statements.NOTHING

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
        engine.NotDispatchedError if it wasn't called, NotRunError,
        engine.WrongAnswerError for a response that isn't this request's, or
        engine.BrokenStreamError if the response is missing or incomplete.
        """
