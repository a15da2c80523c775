"""The way to backend servers, as an abstract base class."""

from __future__ import annotations

import abc
from collections.abc import AsyncGenerator, Callable

import msgspec

from tealcove import errors, ids
from tealcove.backends import engine
from tealcove.ingress import call


class NotRunError(errors.BackendError):
    """The backend server said that it hasn't run the request, and won't."""

    def __init__(self, server: ids.BackendServerId, status: int) -> None:
        super().__init__(
            f"{server} answered {status}: not run", "Send it to another server."
        )
        self.status = status


class OutboundRequest(msgspec.Struct, frozen=True):
    """One sending of a call to one server."""

    call: call.Call
    server: engine.Server
    # Absent for callers of public routes.
    account: ids.AccountId | None
    # Seconds that the server may take.
    remaining: float
    # The last event that the caller has; absent: the stream begins.
    last_event: int | None


class Head(msgspec.Struct, frozen=True):
    """Status and headers of a backend server's answer."""

    status: int
    # Those that go back to the caller.
    headers: call.Headers

    @property
    def is_success(self) -> bool:
        """Whether the request was carried out."""
        return 200 <= self.status < 300


class BackendLink(abc.ABC):
    """Sends calls to backend servers."""

    @abc.abstractmethod
    def send(
        self, outbound: OutboundRequest, dispatched: Callable[[], None]
    ) -> AsyncGenerator[Head | bytes, None]:
        """Send a call once; yield the head of its answer, then its body in parts.

        Calls `dispatched` right before the first byte is written. Raises
        engine.NotDispatchedError if it wasn't called, NotRunError,
        engine.WrongAnswerError for an answer that isn't this request's, or
        engine.BrokenStreamError when no answer or no whole one came.
        """
