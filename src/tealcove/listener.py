"""The HTTP listener of an instance, which limits what each caller may use."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterable

import logbook
from aiohttp import web

from tealcove import clock, ids, inbound, settings, tasks, writebuffers
from tealcove.callermemory import budget
from tealcove.dispatch import messages
from tealcove.entry import problem

log = logbook.Logger("http")

# Connections that the operating system queues until they are accepted.
BACKLOG = 1024
# Shutdown timeout of an HTTP server in seconds. Requests have been given time to end
# before it is stopped. With aiohttp's default of 60 s, a stream that outlasted the
# time from SIGTERM to SIGKILL blocked the rest of the shutdown: 3 of 35 processes were
# killed before their peers were notified. 0 would disable the timeout.
STOP_SECONDS = 0.05
# Maximum number of headers of one request; one header may use the whole limit on bytes.
MAX_HEADERS = 64
# Connections above the limit that are still accepted to answer that it is exceeded, and
# at most this part of the limit where it is set for a machine. Any further ones are
# closed at once.
REJECTED_CONNECTIONS = 64
REJECTED_PART = 8
# Seconds after which a connection without a whole request is closed for a new one.
STALLED_SECONDS = 2.0
RETRY_AFTER = 1.0
# Seconds between two checks of whether all requests have been answered.
DRAIN_INTERVAL = 0.05
# Bytes that the kernel holds of what a caller sends, and of what can't be sent to it
# yet; it allows twice as many. They carry 50 Mbit/s over a round trip of 10 ms.
SOCKET_BUFFER_BYTES = 64 * 1024
# No limit on bytes that can't be sent yet but that of the kernel.
NO_SEND_LIMIT = 2**31 - 1
# Seconds between two checks for unread answers, and the least number of checks within
# `idle_seconds`.
SWEEP_SECONDS = 0.5
CHECKS_PER_TIMEOUT = 8
# Paths that are answered even above the connection limit, for monitoring.
PROBE_PATHS = ("/healthz", "/readyz", "/metrics")
# Seconds for the network in addition to those that a caller may take for a head.
HEAD_MARGIN_SECONDS = 2.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def bounds_of(limits: settings.Limits) -> inbound.Bounds:
    """Return the bounds that the settings of an instance state."""
    return inbound.Bounds(
        limits.header_bytes,
        limits.body_bytes,
        header_seconds=limits.idle_seconds,
        unread_seconds=limits.idle_seconds,
    )


class Listener(inbound.Owner):
    """Accepts connections for an application within the configured limits."""

    # Returns the bounds in force; None: those of the settings always are.
    read_bounds: Callable[[], inbound.Bounds] | None = None

    def __init__(
        self,
        app: web.Application,
        found: settings.Limits,
        decompresses: bool = True,
        max_headers: int = MAX_HEADERS,
        memory: budget.Budget | None = None,
        rejected: int = REJECTED_CONNECTIONS,
        read_bounds: Callable[[], inbound.Bounds] | None = None,
    ) -> None:
        self.read_bounds = read_bounds
        self.limits = found
        self.rejected = rejected
        # What the callers of all listeners of the process make it hold.
        self.budget = memory or budget.Budget()
        self.max_headers = max_headers
        # Whether compressed bodies are decompressed; bodies that are forwarded
        # unchanged must stay compressed.
        self.decompresses = decompresses
        app.middlewares.insert(0, self.check)
        # Cancels the handler when the caller disconnects, which frees its resources.
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=STOP_SECONDS
        )
        self.open: dict[inbound.Connection, asyncio.Transport] = {}
        self.unread: dict[inbound.Connection, writebuffers.Unread] = {}
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None) -> int:
        """Listen; returns the port, which the system chooses if 0 was given."""
        await self.runner.setup()
        self.server = await asyncio.get_running_loop().create_server(
            self.connect,
            host,
            port,
            ssl=tls,
            backlog=BACKLOG,
            ssl_handshake_timeout=None if tls is None else self.limits.idle_seconds,
            start_serving=False,
        )
        for one in self.server.sockets:
            limit_buffers(one)
        await self.server.start_serving()
        self.sweeper = tasks.start_loop(self.sweep, "unread answers")
        return self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        await tasks.stop([self.sweeper])
        await self.runner.cleanup()

    def lift_send_limit(self) -> None:
        """Let the kernel take what it can of the answers that are being sent.

        It goes on sending them when this process has ended.
        """
        for transport in self.open.values():
            connected = transport.get_extra_info("socket")
            if connected is not None:
                limit_unsent(connected, NO_SEND_LIMIT)

    def connect(self) -> inbound.Connection:
        """Return the protocol of a new connection."""
        return inbound.Connection(
            self,
            access_log=None,
            # Applies to the first request too, whose headers may never end.
            keepalive_timeout=self.limits.idle_seconds,
            lingering_time=min(10.0, self.limits.idle_seconds),
            max_line_size=self.bounds.header_bytes,
            max_field_size=self.bounds.header_bytes,
            max_headers=self.max_headers,
            auto_decompress=self.decompresses,
            read_bufsize=inbound.READ_BUFFER_BYTES,
        )

    def register(
        self, connection: inbound.Connection, transport: asyncio.Transport
    ) -> None:
        """See Owner.

        Aborts a connection if there are far too many.
        """
        limit = self.limits.connections
        if len(self.open) >= limit:
            self.close_stalled(clock.now())
        if len(self.open) >= limit + self.rejected:
            transport.abort()
            return
        connection.is_beyond = len(self.open) >= limit
        self.open[connection] = transport

    def unregister(self, connection: inbound.Connection) -> None:
        """See Owner."""
        self.open.pop(connection, None)

    def close_stalled(self, now: ids.Instant) -> None:
        """Close the connection that has made the least progress, if one has stalled."""
        stalled = [
            one for one in self.open if one.holding.is_stalled(STALLED_SECONDS, now)
        ]
        if not stalled:
            return
        slowest = min(
            stalled, key=lambda one: (one.holding.progress_at(now), one.holding.since)
        )
        log.info("connection closed: idle while {} are open", len(self.open))
        self.open.pop(slowest).abort()

    @web.middleware
    async def check(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Refuse requests on connections above the limit, and long headers."""
        if isinstance(request.protocol, inbound.Connection):
            request.protocol.begin_request(request, clock.now())
        try:
            self.check_connection(request)
            self.check_headers(request)
        except problem.ProblemError as error:
            return inbound.closing_response(error)
        return await handler(request)

    def check_connection(self, request: web.Request) -> None:
        """Raise ProblemError above the connection limit, except for probes."""
        connection = request.protocol
        if isinstance(connection, inbound.Connection) and connection.holding.is_ended:
            raise problem.not_run(
                messages.RefusalReason.INSTANCE_OVERLOADED,
                RETRY_AFTER,
                "Callers use all the memory for requests; use another entry point.",
            )
        if request.path in PROBE_PATHS or not getattr(connection, "is_beyond", False):
            return
        raise problem.not_run(
            messages.RefusalReason.OVERLOAD,
            RETRY_AFTER,
            f"{self.limits.connections} connections are open; use another entry point.",
        )

    def check_headers(self, request: web.Request) -> None:
        """Raise ProblemError if the headers together are too long."""
        limit = self.bounds.header_bytes
        if inbound.header_bytes(request) > limit:
            raise problem.rejected(
                431, "The headers are too long", f"Send at most {limit} bytes of them."
            )

    @property
    def bounds(self) -> inbound.Bounds:
        """See Owner."""
        return (
            bounds_of(self.limits) if self.read_bounds is None else self.read_bounds()
        )

    async def sweep(self) -> None:
        """Abort connections whose callers don't read their answers, until cancelled."""
        while True:
            seconds = self.limits.idle_seconds / CHECKS_PER_TIMEOUT
            await asyncio.sleep(min(SWEEP_SECONDS, seconds))
            now = clock.now()
            self.drop_unread(now)
            self.drop_slow_heads(now)
            self.count_unsent(now)

    def drop_unread(self, now: ids.Instant) -> None:
        """Abort connections whose write buffer hasn't shrunk for too long.

        A caller that doesn't read would keep its connection, the answer and the source
        of the answer for ever: aiohttp's own timeout only applies while no answer is
        being sent.
        """
        seconds = self.bounds.unread_seconds
        self.unread = writebuffers.track(self.unread, self.open, now)
        for connection, one in self.unread.items():
            if now - one.since >= seconds:
                log.info("connection aborted: caller doesn't read its answer")
                self.open[connection].abort()

    def drop_slow_heads(self, now: ids.Instant) -> None:
        """Abort connections whose callers take too long for a head."""
        seconds = self.bounds.header_seconds + HEAD_MARGIN_SECONDS
        for connection, transport in self.open.items():
            if connection.is_reading_head and connection.holding.is_stalled(
                seconds, now
            ):
                log.info("connection aborted: head incomplete after {:g} s", seconds)
                transport.abort()

    def count_unsent(self, now: ids.Instant) -> None:
        """Count the unsent bytes of all connections, and end some if they are many."""
        for connection in self.open:
            found = self.unread.get(connection)
            if found is not None:
                connection.holding.note_unsent(found.size, found.since)
            elif connection.holding.unsent:
                connection.holding.note_unsent(0, None)
        self.budget.relieve(now)


def limit_buffers(listening: socket.socket) -> None:
    """Limit what the kernel holds for each connection that a socket will accept.

    Otherwise it holds megabytes of what a caller doesn't read, and that counts towards
    the memory of the machine.
    """
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    limit_unsent(listening, SOCKET_BUFFER_BYTES)


def limit_unsent(connected: socket.socket, size: int) -> None:
    """Limit what the kernel holds of an answer that can't be sent yet."""
    # Not every system has the option; without it the kernel's own limit holds.
    with contextlib.suppress(AttributeError, OSError):
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)


def rejected_connections(connections: int) -> int:
    """Return the connections above a machine's limit that are still answered."""
    return min(REJECTED_CONNECTIONS, connections // REJECTED_PART)


def count_busy(runners: Iterable[web.AppRunner]) -> int:
    """Return the number of connections with an unfinished request or answer."""
    return sum(
        inbound.has_work(one) for runner in runners for one in runner.server.connections
    )


async def drain(is_busy: Callable[[], object], end: ids.Instant) -> None:
    """Wait until nothing is in progress, or until a time."""
    while clock.now() < end:
        if not is_busy():
            return
        await asyncio.sleep(DRAIN_INTERVAL)
