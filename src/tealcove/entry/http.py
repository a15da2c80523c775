"""The HTTP handlers that callers reach."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib

import msgspec
from aiohttp import web

from tealcove import clock, ids, settings
from tealcove.backends import engine, prefixes
from tealcove.dispatch import cells, messages, requester
from tealcove.entry import call, caller, exchange, openai, points, problem
from tealcove.membership import members
from tealcove.membership import messages as membership_messages
from tealcove.resources import copy, kinds

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Tealcove-Deadline"
IDEMPOTENT_HEADER = "Tealcove-Idempotent"
NO = "no"
DIGEST_BYTES = 16
LONGEST_DEADLINE = 3600.0


class Entry:
    """Accepts requests and answers each exactly once."""

    def __init__(
        self,
        found: settings.Settings,
        configuration: copy.ConfigurationCopy,
        known: members.Members,
        engines: engine.EngineClient,
        tickets: requester.Requester,
    ) -> None:
        self.settings = found
        self.configuration = configuration
        self.members = known
        self.engines = engines
        self.tickets = tickets
        # Requests in progress by client account and idempotency key: the same
        # key joins the request that lives in place of starting another.
        self.live: dict[tuple[str, str], exchange.Exchange] = {}
        self.in_progress: set[asyncio.Task[None]] = set()

    def routes(self) -> list[web.RouteDef]:
        """Return the handlers to mount."""
        return [
            web.post("/v1/completions", self.completions),
            web.post("/v1/chat/completions", self.chat),
            web.get("/v1/entry-points", self.entry_points),
        ]

    async def entry_points(self, request: web.Request) -> web.Response:
        """Tell which addresses to use."""
        found = points.find(self.members, self.settings, clock.now())
        return web.Response(
            body=msgspec.json.encode(found),
            content_type="application/json",
            headers={"Cache-Control": f"max-age={int(found.ttl_seconds)}"},
        )

    async def completions(self, request: web.Request) -> web.StreamResponse:
        """Serve `POST /v1/completions`."""
        return await self.serve(request, call.parse_completion)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Serve `POST /v1/chat/completions`."""
        return await self.serve(request, call.parse_chat)

    async def serve(self, request: web.Request, parse: object) -> web.StreamResponse:
        """Answer one request; problems become its final answer."""
        request_id = ids.new_request_id()
        try:
            self.check_accepting()
            who = caller.identify(
                request.headers.get("Authorization"), self.configuration.current
            )
            engine_call = parse(await request.read())
            accepted = self.accept(request, request_id, who, engine_call)
            running = self.start(accepted)
            return await self.answer(request, running, engine_call)
        except problem.ProblemError as error:
            return problem.respond(error.problem, request_id)

    def check_accepting(self) -> None:
        """Refuse new requests when this instance isn't serving."""
        lifecycle = self.members.own.lifecycle
        if lifecycle is membership_messages.Lifecycle.JOINING:
            raise problem.not_run(messages.RefusalReason.NOT_READY, 1.0)
        if lifecycle is membership_messages.Lifecycle.GONE:
            raise problem.not_run(messages.RefusalReason.LEAVING, 0.0)

    def accept(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        who: caller.Caller,
        engine_call: call.EngineCall,
    ) -> exchange.Request:
        """Decide where a request goes and what holds for it."""
        configuration = self.configuration.current
        rule = configuration.route(
            request.path, request.method, engine_call.model, who.account
        )
        pool = None if rule is None else configuration.pool(rule.spec.pool)
        if pool is None or pool.kind is not kinds.Kind.ENGINE_POOL:
            raise problem.rejected(
                404,
                "No routing rule leads to a pool of engines",
                f"model {engine_call.model!r}; ask the operator for a rule.",
            )
        name = ids.PoolId(pool.metadata.name)
        cell = cells.divide(name, pool.spec.servers)[0]
        prefix = prefixes.chain(engine_call.prompt)
        return exchange.Request(
            request_id=request_id,
            caller=who,
            call=engine_call,
            cell=cell.cell_id,
            near=cell.data_centre,
            idempotent=rule.spec.idempotent
            and request.headers.get(IDEMPOTENT_HEADER, "").lower() != NO,
            deadline=self.deadline(request, who),
            prompt_tokens=prefixes.count_tokens(engine_call.prompt),
            prefix=prefix,
            digest=hashlib.blake2b(
                engine_call.prompt.encode(), digest_size=DIGEST_BYTES
            ).hexdigest(),
            key=request.headers.get(KEY_HEADER),
        )

    def deadline(self, request: web.Request, who: caller.Caller) -> ids.Instant:
        """Return when the caller stops waiting; the header gives seconds."""
        text = request.headers.get(DEADLINE_HEADER)
        if text is None:
            return ids.Instant(clock.now() + who.default_deadline)
        with contextlib.suppress(ValueError):
            seconds = float(text)
            if 0 < seconds <= LONGEST_DEADLINE:
                return ids.Instant(clock.now() + seconds)
        raise problem.rejected(
            400,
            f"The header {DEADLINE_HEADER} can't be used",
            f"Write seconds, above 0 and at most {LONGEST_DEADLINE:g}.",
        )

    def start(self, accepted: exchange.Request) -> exchange.Exchange:
        """Begin a request, or join the one that lives under the same key."""
        slot = (accepted.caller.account, accepted.key or accepted.request_id)
        running = self.live.get(slot)
        if running is not None:
            return running
        running = exchange.Exchange(accepted, self.engines, self.tickets)
        self.live[slot] = running
        task = asyncio.create_task(running.run())
        running.task = task
        self.in_progress.add(task)

        def finished(ended: asyncio.Task[None]) -> None:
            self.in_progress.discard(ended)
            self.live.pop(slot, None)

        task.add_done_callback(finished)
        return running

    async def answer(
        self,
        request: web.Request,
        running: exchange.Exchange,
        engine_call: call.EngineCall,
    ) -> web.StreamResponse:
        """Send the answer of a request to one caller."""
        running.readers += 1
        try:
            if engine_call.stream:
                return await self.stream(request, running)
            return await self.buffer(running)
        finally:
            running.readers -= 1
            if running.readers == 0 and running.request.idempotent:
                # Nobody waits for the result: let the engine have its slot back.
                running.task.cancel()

    async def buffer(self, running: exchange.Exchange) -> web.Response:
        """Return the answer when it's whole."""
        await running.answer.wait()
        form = self.form(running)
        found = running.answer
        body = form.whole(found.text(), found.finish, found.usage)
        return web.Response(
            body=body,
            content_type="application/json",
            headers={"X-Request-Id": running.request.request_id},
        )

    async def stream(
        self, request: web.Request, running: exchange.Exchange
    ) -> web.StreamResponse:
        """Send the answer as it grows; a broken one breaks the connection."""
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
                "X-Request-Id": running.request.request_id,
            }
        )
        form = self.form(running)
        try:
            async for chunk in running.answer.read():
                if not response.prepared:
                    await response.prepare(request)
                await response.write(form.event(chunk.text))
        except problem.ProblemError:
            if not response.prepared:
                raise
            # The chunked body stays without its end, so that no client library
            # takes the fragment for the whole answer.
            request.transport.abort()
            return response
        if not response.prepared:
            await response.prepare(request)
        found = running.answer
        await response.write(form.closing_event(found.finish, found.usage))
        await response.write(openai.DONE_EVENT)
        await response.write_eof()
        return response

    def form(self, running: exchange.Exchange) -> openai.Form:
        """Return what renders a request's answer."""
        found = running.request
        return openai.Form(found.request_id, found.call.model, found.call.chat)
