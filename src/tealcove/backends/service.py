"""Abstract base class for clients of plain services, and the types of its calls."""

from __future__ import annotations

import abc
from collections.abc import AsyncGenerator, Callable

import msgspec

from tealcove import ids, stalls
from tealcove.backends import engine

# Pairs, not a mapping: a header such as Set-Cookie may occur several times.
Headers = tuple[tuple[str, str], ...]


class Call(msgspec.Struct, frozen=True):
    """A call of any method; `target` is the caller's unmodified path and query."""

    request_id: ids.RequestId
    method: str
    target: str
    headers: Headers
    body: bytes


class Head(msgspec.Struct, frozen=True):
    """Status and headers of a response."""

    status: int
    headers: Headers


class ServiceClient(abc.ABC):
    """Client for calls to plain services."""

    # For how long this process stood still, for judgements on the services.
    stalls: stalls.Stalls

    @abc.abstractmethod
    def call(
        self,
        server: engine.Server,
        call: Call,
        remaining: float,
        dispatched: Callable[[], None],
    ) -> AsyncGenerator[Head | bytes, None]:
        """Write a call at most once, and yield the response's head and then its body.

        Calls `dispatched` once the server is connected, before the first byte is
        written. `remaining` is the timeout in seconds for the whole call. Raises
        NotDispatchedError (only if `dispatched` wasn't called), BrokenStreamError
        or WrongAnswerError, all of `tealcove.backends.engine`.
        """
