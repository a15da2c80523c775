"""Calls and answers that are passed on between an instance and a server unchanged."""

from __future__ import annotations

import abc
import contextlib
from collections.abc import AsyncIterator, Callable

import msgspec
import multidict

from tealcove.backends import engine
from tealcove.dispatch import statements


class RawCall(msgspec.Struct, frozen=True):
    """A call with the headers that another instance has set for its server."""

    method: str
    # Path and query, unmodified.
    target: str
    headers: multidict.CIMultiDict[str]
    body: bytes


class RawAnswer(msgspec.Struct, frozen=True):
    """A server's answer, whose body is read while it arrives."""

    status: int
    headers: multidict.CIMultiDictProxy[str]
    statement: statements.Statement
    parts: AsyncIterator[bytes]


class RawLink(abc.ABC):
    """Sends calls of other instances to servers."""

    @abc.abstractmethod
    def open(
        self,
        server: engine.Server,
        call: RawCall,
        remaining: float,
        dispatched: Callable[[], None],
    ) -> contextlib.AbstractAsyncContextManager[RawAnswer]:
        """Send a call once; the context is the answer and ends its connection.

        `remaining` is the number of seconds until the deadline. Calls `dispatched`
        right before the first byte is written. Raises engine.NotDispatchedError if it
        wasn't called, and engine.BrokenStreamError, also from within the context, if
        the answer is missing or incomplete.
        """

    @abc.abstractmethod
    async def is_refused(self, server: engine.Server) -> bool:
        """Tell whether a server refuses connections."""

    @abc.abstractmethod
    async def is_replaced(self, server: engine.Server) -> bool:
        """Tell whether another incarnation answers at a server's address."""
