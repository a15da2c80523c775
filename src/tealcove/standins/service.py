"""A stand-in for a plain service, not all of whose calls can be repeated."""

from __future__ import annotations

import asyncio
import hashlib

import msgspec
from aiohttp import web

from tealcove import tasks
from tealcove.standins import (
    backend,
    backend_load,
    backend_settings,
    engine_counts,
    server,
)

REQUEST_ID = "X-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
DIGEST_BYTES = 16


class ServiceSettings(backend_settings.BackendSettings, kw_only=True):
    """Settings of one service stand-in; every field has a default."""

    name: str = "service"
    seconds_per_call: backend_settings.Seconds = 0.01
    # Whether answers carry the request id.
    echoes_request_id: bool = True
    # The least length of an answer, which ends with spaces.
    answer_bytes: backend_settings.Count = 0


class ServiceFaults(backend.Faults, kw_only=True):
    """Faults of a service."""

    # Number of calls that run and whose connection then breaks without an answer.
    lose_answers: backend_settings.Count = 0
    # Number of calls that run and are answered with status 500.
    fail_calls: backend_settings.Count = 0


class ServiceCounts(msgspec.Struct):
    """Counts since the start, for tests only; the system itself never reads them."""

    # Calls received, by request id, by idempotency key, and by
    # "<method> <path> <digest of the body>".
    dispatches: dict[str, int] = {}
    keys: dict[str, int] = {}
    calls: dict[str, int] = {}
    # Calls that ran to completion, by request id.
    completed: dict[str, int] = {}
    sent_while_leaving: dict[str, float] = {}


class Answer(msgspec.Struct, frozen=True):
    """The answer to a call; `digest` is that of the request's body."""

    method: str
    path: str
    digest: str
    request_id: str
    server: str


class ServiceStandin(backend.BackendStandin):
    """A plain service that can be embedded and restarted."""

    FAULTS = ServiceFaults

    def __init__(self, settings: ServiceSettings) -> None:
        super().__init__(settings, ServiceCounts())
        self.slots = asyncio.Semaphore(settings.slots)
        self.running = 0
        # Unfinished calls, including those that wait for a slot.
        self.calls: set[asyncio.Task[None]] = set()

    def add_routes(self, app: web.Application) -> None:
        """Add the endpoints of docs/BACKENDS.md."""
        super().add_routes(app)
        app.router.add_route("*", "/{path:.*}", self.answer)

    def report(self) -> backend_load.LoadReport:
        """Return the present load."""
        return backend_load.LoadReport(
            running=self.running,
            waiting=len(self.calls) - self.running,
            slots=self.settings.slots,
            cached_blocks=0,
            cache_blocks=0,
            state=self.state,
        )

    async def answer(self, request: web.Request) -> web.Response:
        """Run a call of any method and path.

        A call runs to completion even if its connection breaks, like a quote
        that is already being sent to a client: that is why the system must not
        send the call a second time.
        """
        body = await request.read()
        call = self.count(request, body)
        task = tasks.start(self.run(call), "call")
        self.calls.add(task)
        self.idle.clear()
        task.add_done_callback(self.end)
        await asyncio.shield(task)
        return self.respond(request, call)

    def end(self, task: asyncio.Task[None]) -> None:
        """Remove a finished call, and set `idle` after the last one."""
        self.calls.discard(task)
        if not self.calls:
            self.idle.set()

    async def stop(self) -> None:
        """Close the port and all connections, and cancel unfinished calls."""
        for task in self.calls:
            task.cancel()
        await super().stop()

    def count(self, request: web.Request, body: bytes) -> Answer:
        """Count a received call, and return its answer."""
        digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
        request_id = request.headers.get(REQUEST_ID, "")
        key = request.headers.get(IDEMPOTENCY_KEY)
        path = request.path_qs
        engine_counts.increment(self.counts.calls, f"{request.method} {path} {digest}")
        engine_counts.increment(self.counts.dispatches, request_id)
        if key is not None:
            engine_counts.increment(self.counts.keys, key)
        self.count_if_leaving(request_id, server.loop_time())
        return Answer(request.method, path, digest, request_id, self.name)

    async def run(self, call: Answer) -> None:
        """Run a call in a slot, and count it as completed."""
        async with self.slots:
            self.running += 1
            try:
                self.sample_load(server.loop_time())
                seconds = self.settings.seconds_per_call / self.faults.speed_factor
                await asyncio.sleep(seconds)
                await self.unfrozen.wait()
            finally:
                self.running -= 1
        engine_counts.increment(self.counts.completed, call.request_id)
        self.sample_load(server.loop_time())

    def respond(self, request: web.Request, call: Answer) -> web.Response:
        """Return the response to a call, with the active faults."""
        if self.consume_fault("lose_answers"):
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        failed = self.consume_fault("fail_calls")
        response = server.json_response(call, status=500 if failed else 200)
        response.body = response.body.ljust(self.settings.answer_bytes)
        shown = call.request_id
        if self.consume_fault("wrong_id"):
            shown = backend_settings.OTHER_ID
        if shown and self.settings.echoes_request_id:
            response.headers[REQUEST_ID] = shown
        return response


async def serve(settings: ServiceSettings) -> None:
    """Run one service until SIGTERM, then finish its running calls."""
    await backend.serve_until_signal(ServiceStandin(settings))
