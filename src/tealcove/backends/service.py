"""What the system asks of a plain service, as an abstract base class."""

from __future__ import annotations

import abc
from collections.abc import AsyncGenerator, Callable

import msgspec

from tealcove import ids
from tealcove.backends import engine

# Pairs and not a mapping: a header such as Set-Cookie may stand several times.
Headers = tuple[tuple[str, str], ...]


class Call(msgspec.Struct, frozen=True):
    """A call of any method; `target` is the path and query as the caller wrote them."""

    request_id: ids.RequestId
    method: str
    target: str
    headers: Headers
    body: bytes


class Head(msgspec.Struct, frozen=True):
    """How a response begins."""

    status: int
    headers: Headers


class ServiceClient(abc.ABC):
    """Calls to plain services."""

    @abc.abstractmethod
    def call(
        self,
        server: engine.Server,
        call: Call,
        remaining: float,
        dispatched: Callable[[], None],
    ) -> AsyncGenerator[Head | bytes, None]:
        """Write a call once at most, and yield its head and then its body.

        Calls `dispatched` once the server is connected, before the first byte is
        written. `remaining` is the seconds that all of it may take. Raises
        NotDispatchedError (only if `dispatched` wasn't called), BrokenStreamError
        or WrongAnswerError, all of `tealcove.backends.engine`.
        """
