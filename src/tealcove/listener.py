"""The HTTP port of an instance, and what a caller may use of it."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import logbook
import msgspec
from aiohttp import web

from tealcove import clock, ids, settings, tasks
from tealcove.dispatch import messages
from tealcove.entry import problem

log = logbook.Logger("http")

# A connection of the operating system's that waits to be accepted.
BACKLOG = 1024
# Seconds that requests still have once an HTTP server is stopped: whoever stops it has
# let them end before. With the library's 60 s, a stream that was longer than the time
# from SIGTERM to SIGKILL kept all that stops after the server from stopping: 3 of 35
# processes were killed, and their peers heard no farewell. 0 would mean no bound.
STOP_SECONDS = 0.05
# Headers of one request at the most; each may be as long as all together.
MAX_HEADERS = 64
# Connections beyond the bound that still get an answer that says so. Those beyond
# these too are closed at once.
REJECTED_CONNECTIONS = 64
RETRY_AFTER = 1.0
# Bytes that a header takes beside its name and value.
SEPARATOR_BYTES = 4
# Looks at a caller that reads nothing, in the time that it's given.
CHECKS_PER_TIMEOUT = 8
# What must be answered to tell the state of a crowded instance.
PROBE_PATHS = ("/healthz", "/readyz", "/metrics")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Unread(msgspec.Struct):
    """How much of its answers a caller has left unread, and since when."""

    size: int
    since: ids.Instant


class Connection(web.RequestHandler):
    """One connection; its server's listener knows it as long as it's open."""

    def __init__(self, listener: Listener, **options: object) -> None:
        super().__init__(
            listener.runner.server, loop=asyncio.get_running_loop(), **options
        )
        self.listener = listener
        # Whether it is one more than may be open.
        self.is_beyond = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See asyncio.Protocol."""
        super().connection_made(transport)
        self.listener.add(self, transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See asyncio.Protocol."""
        self.listener.open.pop(self, None)
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that can't be read.

        aiohttp would log and send back what it couldn't read, which may be a
        header with a key in it.
        """
        if status != web.HTTPBadRequest.status_code:
            return super().handle_error(request, status, exc, message)
        log.info("a request from {} can't be read: {}", request.remote, type(exc))
        most = self.listener.limits.header_bytes
        refused = problem.rejected(
            status,
            "The request can't be read",
            f"Send HTTP/1.1, with at most {MAX_HEADERS} headers and {most} bytes in "
            "the longest line.",
        )
        return closing(refused)


class Listener:
    """Takes connections for an application, within the limits of the settings."""

    def __init__(
        self,
        app: web.Application,
        found: settings.Limits,
        decompresses: bool = True,
    ) -> None:
        self.limits = found
        # Whether bodies are read without their coding; a body that goes on as it
        # came must keep it.
        self.decompresses = decompresses
        app.middlewares.insert(0, self.check)
        # A caller that leaves ends its handler, which frees what it held.
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=STOP_SECONDS
        )
        self.open: dict[Connection, asyncio.Transport] = {}
        self.unread: dict[Connection, Unread] = {}
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None) -> int:
        """Listen; returns the port, which was chosen if 0 was given."""
        await self.runner.setup()
        self.server = await asyncio.get_running_loop().create_server(
            self.connect,
            host,
            port,
            ssl=tls,
            backlog=BACKLOG,
            ssl_handshake_timeout=None if tls is None else self.limits.idle_seconds,
        )
        self.sweeper = tasks.start(self.sweep(), "unread answers")
        return self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Listen no longer, and close all connections."""
        self.server.close()
        await tasks.stop([self.sweeper])
        await self.runner.cleanup()

    def connect(self) -> Connection:
        """Return what serves a new connection."""
        return Connection(
            self,
            access_log=None,
            # Covers the first request too: headers that never end.
            keepalive_timeout=self.limits.idle_seconds,
            lingering_time=min(10.0, self.limits.idle_seconds),
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
            max_headers=MAX_HEADERS,
            auto_decompress=self.decompresses,
        )

    def add(self, connection: Connection, transport: asyncio.Transport) -> None:
        """Take in a connection, or close it when there are far too many."""
        most = self.limits.connections
        if len(self.open) >= most + REJECTED_CONNECTIONS:
            transport.abort()
            return
        connection.is_beyond = len(self.open) >= most
        self.open[connection] = transport

    @web.middleware
    async def check(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Refuse requests on connections beyond the bound, and long headers."""
        try:
            self.check_connection(request)
            self.check_headers(request)
        except problem.ProblemError as error:
            return closing(error)
        return await handler(request)

    def check_connection(self, request: web.Request) -> None:
        """Raise ProblemError on a connection too many, unless it's a look at us."""
        connection = request.protocol
        if request.path in PROBE_PATHS or not getattr(connection, "is_beyond", False):
            return
        raise problem.not_run(
            messages.RefusalReason.OVERLOAD,
            RETRY_AFTER,
            f"{self.limits.connections} connections are open; use another entry point.",
        )

    def check_headers(self, request: web.Request) -> None:
        """Raise ProblemError for headers that are too long together."""
        most = self.limits.header_bytes
        if (
            sum(len(n) + len(v) + SEPARATOR_BYTES for n, v in request.raw_headers)
            > most
        ):
            raise problem.rejected(
                431, "The headers are too long", f"Send at most {most} bytes of them."
            )

    async def sweep(self) -> None:
        """Break connections whose callers leave their answers unread."""
        while True:
            await asyncio.sleep(self.limits.idle_seconds / CHECKS_PER_TIMEOUT)
            self.drop_unread(clock.now())

    def drop_unread(self, now: ids.Instant) -> None:
        """Look at what each caller has left unread since the last look.

        A caller that reads, however slowly, makes it smaller now and then: beyond
        a mark nothing more is written before it has become less. One that doesn't
        would keep its connection, the answer and what it's read from for ever;
        aiohttp's own timer only counts when no answer is being sent.
        """
        before, self.unread = self.unread, {}
        for connection, transport in list(self.open.items()):
            size = transport.get_write_buffer_size()
            if size == 0:
                continue
            known = before.get(connection)
            if known is None or size < known.size:
                known = Unread(size, now)
            known.size = size
            self.unread[connection] = known
            if now - known.since >= self.limits.idle_seconds:
                log.info("a caller has left its answer unread")
                transport.abort()


def closing(error: problem.ProblemError) -> web.Response:
    """Return the response of a problem; the connection ends with it."""
    response = problem.respond(error.problem)
    response.force_close()
    return response
