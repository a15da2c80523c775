"""A stand-in for a model engine with the HTTP interface of docs/BACKENDS.md."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

import msgspec
from aiohttp import web

from tealcove import decoding, ids, tasks
from tealcove.standins import (
    answers,
    backend,
    backend_load,
    backend_settings,
    engine_batch,
    engine_cache,
    engine_counts,
    engine_orders,
    engine_settings,
    engine_stream,
    server,
)

# Re-exported, so that users of an engine need only this import.
EngineSettings = engine_settings.EngineSettings
EngineFaults = engine_settings.EngineFaults
expected_answer = answers.expected_answer

REQUEST_ID = "X-Request-Id"
BINARY = "application/octet-stream"
CRASH_EXIT_CODE = 1


class CompletionRequest(msgspec.Struct, frozen=True):
    """The body of a completion."""

    model: str
    prompt: str
    max_tokens: int
    adapter: str | None = None
    stream: bool = True


class EngineStandin(backend.BackendStandin):
    """An engine that can be embedded, and restarted after a crash.

    `on_crash` is called once a prompt with the crash marker has broken all
    connections and closed the port. A restart keeps only the counts.
    """

    FAULTS = EngineFaults

    def __init__(
        self,
        settings: EngineSettings,
        on_crash: Callable[[EngineStandin], None] | None = None,
    ) -> None:
        super().__init__(settings, engine_counts.EngineCounts())
        self.on_crash = on_crash
        self.wake = asyncio.Event()
        self.tick_task: asyncio.Task[None] | None = None
        self.reset_state()

    def reset_state(self) -> None:
        """Start with an empty cache, no runs, and the models of the settings."""
        settings = self.settings
        self.events = engine_cache.EventLog(
            settings.event_lag, settings.event_gap_share, settings.seed
        )
        self.cache = engine_cache.PrefixCache(settings.cache_blocks, self.events)
        self.batch = engine_batch.Batch(settings, self.cache, self.counts, self.idle)
        self.orders = engine_orders.Orders(settings, self.counts)
        self.load = backend_load.LaggingLoad(settings.load_lag)

    def add_routes(self, app: web.Application) -> None:
        """Add the endpoints of docs/BACKENDS.md."""
        super().add_routes(app)
        app.add_routes(
            [
                web.post("/v1/completions", self.complete),
                web.get("/v1/completions/{id}", self.resume),
                web.delete("/v1/completions/{id}", self.cancel),
                web.get("/cache-events", self.show_cache_events),
                web.post("/orders", self.handle_order),
                web.get("/state", self.show_state),
                web.get("/kv/{id}", self.export_kv),
                web.put("/kv/{id}", self.import_kv),
            ]
        )

    async def start(self) -> None:
        """Start listening on `port` and computing."""
        await super().start()
        self.tick_task = tasks.start(self.tick(), f"steps of {self.name}")

    async def stop(self) -> None:
        """Close the port and all connections, and discard all but the counts."""
        tick_task, self.tick_task = self.tick_task, None
        if tick_task is not None and tick_task is not asyncio.current_task():
            tick_task.cancel()
        await super().stop()
        self.batch.clear()
        self.reset_state()

    async def crash(self) -> None:
        """Break all connections, close the port and call `on_crash`."""
        await self.kill()
        if self.on_crash is not None:
            self.on_crash(self)

    async def apply_faults(self, faults: EngineFaults) -> None:
        """Replace the set of faults."""
        self.advance(server.loop_time())
        self.batch.speed_factor = faults.speed_factor
        self.events.dropping = faults.drop_cache_events
        await super().apply_faults(faults)

    async def tick(self) -> None:
        """Advance all runs in steps until the engine crashes.

        One task serves all runs, since a timer for each token of each run would
        use most of a core with a few engines.
        """
        while not self.batch.crashed:
            if not self.batch.runs_by_id:
                self.sample_load(server.loop_time())
                self.wake.clear()
                await self.wake.wait()
            step = self.batch.step_seconds()
            await asyncio.sleep(max(self.settings.tick_seconds, step))
            self.advance(server.loop_time())
        await self.crash()

    def advance(self, now: ids.Instant) -> None:
        """Compute the work done up to `now`; a frozen engine does none."""
        if not self.unfrozen.is_set():
            self.batch.skip_to(now)
            return
        self.batch.tick(now)
        if self.load.needs_sample(now):
            self.sample_load(now)

    def report(self) -> backend_load.LoadReport:
        """Return the present load."""
        return backend_load.LoadReport(
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            slots=self.settings.slots,
            cached_blocks=len(self.cache.blocks),
            cache_blocks=self.settings.cache_blocks,
            state=self.state,
        )

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Admit a request and stream its answer."""
        request_id = request.headers.get(REQUEST_ID)
        if not request_id:
            raise web.HTTPBadRequest(text=f"Send the header {REQUEST_ID}.")
        body = await server.decode_body(request, CompletionRequest)
        self.validate(body)
        now = server.loop_time()
        engine_counts.increment(self.counts.dispatches, request_id)
        self.count_if_leaving(request_id, now)
        run = engine_batch.Run(request_id, body.prompt, body.max_tokens)
        self.batch.submit(run, now)
        self.wake.set()
        return await self.stream(request, run, 0)

    def validate(self, body: CompletionRequest) -> None:
        """Reject an invalid request; raises HTTPNotFound, HTTPBadRequest."""
        if body.model not in self.orders.holding.models:
            raise web.HTTPNotFound(text=f"Model {body.model!r} isn't loaded.")
        adapter = body.adapter
        if adapter is not None and adapter not in self.orders.holding.adapters:
            raise web.HTTPNotFound(text=f"Adapter {adapter!r} isn't loaded.")
        if body.max_tokens < 1 or not body.stream:
            raise web.HTTPBadRequest(text="Ask for a stream of at least 1 token.")

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Stream the rest of an answer from a token offset."""
        try:
            offset = max(0, int(request.query.get("offset", "0")))
        except ValueError as error:
            raise web.HTTPBadRequest(text="Send a whole number as offset.") from error
        return await self.stream(request, self.newest_run(request), offset)

    def newest_run(self, request: web.Request) -> engine_batch.Run:
        """Return the latest run of the id in the path; raises HTTPNotFound."""
        runs = self.batch.runs_by_id.get(request.match_info["id"])
        if not runs:
            raise web.HTTPNotFound(text="This request isn't known here.")
        return runs[-1]

    async def stream(
        self, request: web.Request, run: engine_batch.Run, offset: int
    ) -> web.StreamResponse:
        """Stream a run's answer to one connection."""
        stream_faults = self.next_stream_faults()
        shown = backend_settings.OTHER_ID if stream_faults.wrong_id else run.request_id
        response = web.StreamResponse(
            headers={REQUEST_ID: shown, "Content-Type": "text/event-stream"}
        )
        run.attach()
        try:
            await response.prepare(request)
            await engine_stream.Stream(run, offset, stream_faults, response).write()
            self.batch.deliver(run)
            await response.write_eof()
        except engine_stream.CutError:
            if request.transport is not None:
                request.transport.abort()
        finally:
            run.detach(server.loop_time())
        return response

    def next_stream_faults(self) -> engine_stream.StreamFaults:
        """Return the faults of the next answer and decrement their counters."""
        cut = self.faults.cut_after_tokens
        if cut is not None and not self.consume_fault("cut_times"):
            cut = None
        return engine_stream.StreamFaults(
            wrong_id=self.consume_fault("wrong_id"),
            wrong_event_id=self.consume_fault("wrong_event_id"),
            duplicate=self.consume_fault("duplicate_chunk"),
            reorder=self.consume_fault("reorder_chunk"),
            drop=self.consume_fault("drop_chunk"),
            cut_after=cut,
        )

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request; an unknown one is no error."""
        self.advance(server.loop_time())
        self.batch.cancel_request(request.match_info["id"], server.loop_time())
        return web.Response(status=204)

    async def show_cache_events(self, request: web.Request) -> web.Response:
        """Answer the cache events after a sequence number."""
        try:
            after = int(request.query.get("after", "0"))
        except ValueError as error:
            raise web.HTTPBadRequest(text="Send a whole number as after.") from error
        return server.json_response(self.events.report(after, server.loop_time()))

    async def handle_order(self, request: web.Request) -> web.Response:
        """Carry out an order, or refuse an old fencing number."""
        order = await server.decode_body(request, engine_orders.Order)
        # The order must go on when the steward that sent it dies: an order that is
        # still carried out while nobody waits for it is the harder case.
        running = len(self.batch.running) + len(self.batch.waiting)
        accepted = await asyncio.shield(self.orders.carry_out(order, running))
        seen = engine_orders.Fencing(self.orders.holding.fencing)
        return server.json_response(seen, status=200 if accepted else 412)

    async def show_state(self, request: web.Request) -> web.Response:
        """Answer the models, adapters, role and fencing number of the engine."""
        return server.json_response(self.orders.holding)

    async def export_kv(self, request: web.Request) -> web.Response:
        """Answer the KV cache of a request as bytes."""
        chain = self.newest_run(request).chain
        return web.Response(body=msgspec.msgpack.encode(chain), content_type=BINARY)

    async def import_kv(self, request: web.Request) -> web.Response:
        """Store a KV cache that another engine exported."""
        content = await request.read()
        try:
            chain = decoding.decode_msgpack(content, tuple[int, ...])
        except msgspec.DecodeError as error:
            raise web.HTTPBadRequest(text="Send what an engine exported.") from error
        self.cache.store(chain, server.loop_time())
        return web.Response(status=204)


def exit_process(engine: EngineStandin) -> None:
    """End the process at once, as when a prompt crashes an engine."""
    backend.announce("crashed", engine, engine.counts)
    os._exit(CRASH_EXIT_CODE)


async def serve(settings: EngineSettings) -> None:
    """Run one engine until SIGTERM, then finish its running requests."""
    await backend.serve_until_signal(EngineStandin(settings, exit_process))
