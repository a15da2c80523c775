"""Connections of callers, and what the HTTP library keeps of each.

All uses of the library's own state, which has no public names, stand here.
"""

from __future__ import annotations

import abc
import asyncio

import aiohttp
import logbook
import msgspec
from aiohttp import web

from tealcove import clock, ids
from tealcove.callermemory import budget, holding
from tealcove.entry import problem

log = logbook.Logger("http")

# Bytes of a header in addition to its name and value, and of a head in addition to its
# headers, method and target.
SEPARATOR_BYTES = 4
LINES_BYTES = 14
# Bytes that are parsed at a time.
PARSED_BYTES = 16 * 1024
# Bytes of a body after which no more of it is read until they are taken; the library
# allows twice as many.
READ_BUFFER_BYTES = 32 * 1024


class Bounds(msgspec.Struct, frozen=True):
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int
    body_bytes: int
    # For a head.
    header_seconds: float
    # Without reading anything of its answer.
    unread_seconds: float


class Owner(abc.ABC):
    """The listener of a connection."""

    runner: web.AppRunner
    # What the callers of all listeners of the process make it hold.
    budget: budget.Budget
    max_headers: int

    @property
    @abc.abstractmethod
    def bounds(self) -> Bounds:
        """Return what callers may send now."""

    @abc.abstractmethod
    def register(self, connection: Connection, transport: asyncio.Transport) -> None:
        """Register a connection that was made."""

    @abc.abstractmethod
    def unregister(self, connection: Connection) -> None:
        """Forget a connection that is closed."""


class Connection(web.RequestHandler):
    """One connection, registered with its listener while it is open."""

    def __init__(self, listener: Owner, **options: object) -> None:
        super().__init__(
            listener.runner.server, loop=asyncio.get_running_loop(), **options
        )
        self.listener = listener
        # Whether the connection limit was exceeded when it was opened.
        self.is_beyond = False
        self.holding: holding.Holding | None = None
        # The body of the last request whose head was read.
        self.last_body: aiohttp.StreamReader | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See asyncio.Protocol."""
        super().connection_made(transport)
        # What is read at once from the socket isn't counted before it is parsed.
        transport.max_size = READ_BUFFER_BYTES
        self.holding = self.listener.budget.open(self.end, clock.now())
        self.listener.register(self, transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See asyncio.Protocol."""
        self.listener.unregister(self)
        self.listener.budget.close(self.holding)
        super().connection_lost(exc)
        # They would stay in memory until the next full collection of garbage.
        self._messages.clear()
        self.last_body = None

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol.

        Parses a little at a time, so that what is left of a head that goes on is known.
        """
        if not data:
            super().data_received(data)
        for start in range(0, len(data), PARSED_BYTES):
            if self.transport is None or self.transport.is_closing():
                return
            part = data[start : start + PARSED_BYTES]
            before = len(self._messages)
            super().data_received(part)
            self.count_received(len(part), len(self._messages) - before, clock.now())

    def count_received(self, size: int, requests: int, now: ids.Instant) -> None:
        """Count bytes and requests; ends the connection if they are too many."""
        if self._messages:
            self.last_body = self._messages[-1][1]
        is_at_head = self.last_body is None or self.last_body.is_eof()
        held = self.holding
        if held.is_ended:
            # It was refused; what still arrives is dropped until it is closed.
            return
        if self._request_in_progress or self._messages:
            copies = holding.HEAD_COPIES if is_at_head else 1
            cost = copies * size + requests * holding.REQUEST_BYTES
            is_allowed = held.add_ahead(size, cost, now)
        elif is_at_head:
            held.begin(holding.Step.ARRIVING, now)
            held.receive(size, now)
            is_allowed = held.add_ahead(size, holding.HEAD_COPIES * size, now)
            is_allowed = is_allowed and held.ahead <= self.longest_head
        else:
            # The rest of a body whose request was refused is read and dropped.
            held.take(held.ahead)
            return
        if not is_allowed:
            self.end_for_memory()

    @property
    def longest_head(self) -> int:
        """Return the bytes of a head, complete or not, above which it is refused."""
        # The request line may be as long as all headers together.
        return 2 * (self.listener.bounds.header_bytes + PARSED_BYTES)

    def end_for_memory(self) -> None:
        """Refuse or close it, since its caller sends more than may be held."""
        memory = self.listener.budget
        memory.ended += 1
        log.info(
            "connection ended: {} bytes received ahead, callers hold {} bytes",
            self.holding.ahead,
            memory.used,
        )
        self.holding.end()

    @property
    def is_reading_head(self) -> bool:
        """Tell whether a part of a head has arrived that no request follows."""
        if self._request_in_progress or self._messages:
            return False
        return self.holding.step is holding.Step.ARRIVING

    def end(self) -> None:
        """Refuse the next request, or close the connection if it has none."""
        if self._request_in_progress:
            self._messages.clear()
        while len(self._messages) > 1:
            self._messages.pop()
        if not self._messages and self.transport is not None:
            self.transport.abort()

    def begin_request(self, request: web.BaseRequest, now: ids.Instant) -> None:
        """Let the next request take its head of what was received."""
        line = len(request.method) + len(request.raw_path)
        size = line + header_bytes(request) + LINES_BYTES
        self.holding.take(size)
        self.holding.add(holding.HEAD_COPIES * size + holding.REQUEST_BYTES)
        self.holding.begin(holding.Step.ANSWERING, now)

    async def finish_response(
        self, request: web.BaseRequest, *details: object
    ) -> tuple[web.StreamResponse, bool]:
        """See web.RequestHandler."""
        try:
            return await super().finish_response(request, *details)
        finally:
            if not self._messages:
                self.holding.keep_ahead(self.bytes_of_next_head(request))
            self.holding.finish(clock.now())

    def bytes_of_next_head(self, request: web.BaseRequest) -> int:
        """Return the bytes that have been received after a request at most."""
        if "Transfer-Encoding" in request.headers:
            # What delimits chunks was received too, and isn't known.
            return 0
        return min(PARSED_BYTES, self.holding.ahead)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that can't be parsed.

        By default, aiohttp logs and returns the invalid input, which may be a header
        that contains a key.
        """
        if status != web.HTTPBadRequest.status_code:
            return super().handle_error(request, status, exc, message)
        log.info("request from {} can't be parsed: {}", request.remote, type(exc))
        limit = self.listener.bounds.header_bytes
        count = self.listener.max_headers
        refused = problem.rejected(
            status,
            "The request can't be read",
            f"Send HTTP/1.1, with at most {count} headers and {limit} bytes in "
            "the longest line.",
        )
        return closing_response(refused)


def longest_body(request: web.Request) -> int:
    """Return the most bytes that the body of a request may have."""
    connection = request.protocol
    if isinstance(connection, Connection):
        return connection.listener.bounds.body_bytes
    return request.client_max_size


def header_bytes(request: web.BaseRequest) -> int:
    """Return the length of all headers together."""
    return sum(len(n) + len(v) + SEPARATOR_BYTES for n, v in request.raw_headers)


def has_work(connection: web.RequestHandler) -> bool:
    """Return whether a connection has a request or an answer that isn't finished.

    aiohttp writes an answer when its handler has ended, and the transport sends it as
    fast as the caller reads. Requests that were sent in one go wait for their turn.
    """
    if connection._request_in_progress or connection._messages:
        return True
    transport = connection.transport
    return transport is not None and transport.get_write_buffer_size() > 0


def close_after(request: web.Request, response: web.StreamResponse) -> None:
    """Close a connection after a response, unless it has read further requests."""
    if not request.protocol._messages:
        response.force_close()


def closing_response(error: problem.ProblemError) -> web.Response:
    """Return the response for a problem, which closes the connection."""
    response = problem.respond(error.problem)
    response.force_close()
    return response
