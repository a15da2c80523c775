"""The HTTP server of the backend stand-ins: start, stop, kill, freeze, refuse."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from aiohttp import web

from tealcove import decoding, ids, tasks

MAX_BODY_BYTES = 16 * 1024 * 1024
# Time after which handlers that are still running at shutdown are abandoned.
SHUTDOWN_SECONDS = 1.0
CONTROL_PREFIX = "/standin/"
JSON = "application/json"

Decoded = TypeVar("Decoded")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def loop_time() -> ids.Instant:
    """Return the time of the running event loop."""
    return ids.Instant(asyncio.get_running_loop().time())


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a response with a value as JSON."""
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type=JSON)


async def decode_body(request: web.Request, shape: type[Decoded]) -> Decoded:
    """Decode a request's JSON body; raises HTTPBadRequest."""
    try:
        return decoding.decode_json(await request.read(), shape)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


class StandinServer(abc.ABC):
    """An embeddable server; several can share one event loop."""

    def __init__(self, name: str, host: str, port: int) -> None:
        self.name = name
        self.host = host
        # The port in use from the first start on, also across restarts.
        self.port = port
        self.runner: web.AppRunner | None = None
        self.site: web.TCPSite | None = None
        # Clear while the stand-in behaves like a stopped process.
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self.unfreeze_timer: asyncio.TimerHandle | None = None
        # Clear while any answer is incomplete.
        self.idle = asyncio.Event()
        self.idle.set()
        self.reopen_task: asyncio.Task[None] | None = None

    @abc.abstractmethod
    def add_routes(self, app: web.Application) -> None:
        """Add the stand-in's own routes."""

    async def start(self) -> None:
        """Start listening on `port`, also after a stop or kill."""
        app = web.Application(
            middlewares=[self.hold_while_frozen], client_max_size=MAX_BODY_BYTES
        )
        self.add_routes(app)
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await self.runner.setup()
        await self.listen()

    async def listen(self) -> None:
        """Open the port."""
        self.site = web.TCPSite(self.runner, self.host, self.port, reuse_address=True)
        await self.site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the port and all connections; do nothing when stopped."""
        if self.reopen_task is not None:
            self.reopen_task.cancel()
            self.reopen_task = None
        runner, self.runner = self.runner, None
        if runner is not None:
            await runner.cleanup()

    async def kill(self) -> None:
        """Break all connections at once and stop, as a killed process does."""
        self.abort_connections()
        await self.stop()

    def abort_connections(self) -> None:
        """Abort every open connection."""
        if self.runner is None:
            return
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    @web.middleware
    async def hold_while_frozen(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Delay all requests but those to /standin/ while frozen."""
        if not request.path.startswith(CONTROL_PREFIX):
            await self.unfrozen.wait()
        return await handler(request)

    def freeze(self, seconds: float) -> None:
        """Behave like a stopped process for some seconds; 0 ends a freeze."""
        if self.unfreeze_timer is not None:
            self.unfreeze_timer.cancel()
        self.unfrozen.clear()
        loop = asyncio.get_running_loop()
        self.unfreeze_timer = loop.call_later(seconds, self.unfrozen.set)
        if seconds <= 0.0:
            self.unfrozen.set()

    async def refuse(self, seconds: float) -> None:
        """Close the port for some seconds, but no open connection; 0 reopens it."""
        if self.reopen_task is not None:
            self.reopen_task.cancel()
            self.reopen_task = None
            await self.listen()
        if seconds > 0.0:
            await self.site.stop()
            again = self.reopen_port(seconds)
            self.reopen_task = tasks.start(again, f"port of {self.name}")

    async def reopen_port(self, seconds: float) -> None:
        """Reopen the port after some seconds."""
        await asyncio.sleep(seconds)
        await self.listen()
        self.reopen_task = None
