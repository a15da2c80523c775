"""A stand-in for a plain service, whose calls may not all be repeated."""

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
    """How one service stand-in behaves; every field has a default."""

    name: str = "service"
    seconds_per_call: backend_settings.Seconds = 0.01
    # Whether answers carry the request's id back.
    echoes_request_id: bool = True


class ServiceFaults(backend.Faults, kw_only=True):
    """Faults of a service."""

    # Calls that run and whose connection then breaks without an answer.
    lose_answers: backend_settings.Count = 0
    # Calls that run and are answered with status 500.
    fail_calls: backend_settings.Count = 0


class ServiceCounts(msgspec.Struct):
    """Counts since the start, which no part of the system reads."""

    # Calls that arrived, by request id, by idempotency key, and by
    # "<method> <path> <digest of the body>".
    dispatches: dict[str, int] = {}
    keys: dict[str, int] = {}
    calls: dict[str, int] = {}
    # Calls that ran to their end, by request id.
    completed: dict[str, int] = {}
    sent_while_leaving: dict[str, float] = {}


class Answer(msgspec.Struct, frozen=True):
    """What a call is answered with; `digest` is that of its body."""

    method: str
    path: str
    digest: str
    request_id: str
    server: str


class ServiceStandin(backend.BackendStandin):
    """One plain service; it can be embedded, and started again."""

    FAULTS = ServiceFaults

    def __init__(self, settings: ServiceSettings) -> None:
        super().__init__(settings, ServiceCounts())
        self.slots = asyncio.Semaphore(settings.slots)
        self.running = 0
        # Calls that arrived and haven't ended, with those that wait.
        self.calls: set[asyncio.Task[None]] = set()

    def add_routes(self, app: web.Application) -> None:
        """Add the calls of docs/BACKENDS.md."""
        super().add_routes(app)
        app.router.add_route("*", "/{path:.*}", self.answer)

    def report(self) -> backend_load.LoadReport:
        """Return the load of now."""
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

        A call that began runs to its end although its connection breaks, as a
        quote does that is on its way to a client: that is why the system may
        not send it a second time.
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
        """Note that a call ended."""
        self.calls.discard(task)
        if not self.calls:
            self.idle.set()

    async def stop(self) -> None:
        """Close the port and all connections; calls that run are lost."""
        for task in self.calls:
            task.cancel()
        await super().stop()

    def count(self, request: web.Request, body: bytes) -> Answer:
        """Count a call that arrived, and return its answer."""
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
        """Take a slot for as long as a call lasts."""
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
        """Return the answer, or what the faults make of it."""
        if self.consume_fault("lose_answers"):
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        failed = self.consume_fault("fail_calls")
        response = server.json_response(call, status=500 if failed else 200)
        shown = call.request_id
        if self.consume_fault("wrong_id"):
            shown = backend_settings.OTHER_ID
        if shown and self.settings.echoes_request_id:
            response.headers[REQUEST_ID] = shown
        return response


async def serve(settings: ServiceSettings) -> None:
    """Run one service until SIGTERM, then finish what runs."""
    await backend.serve_until_signal(ServiceStandin(settings))
