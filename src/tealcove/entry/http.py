"""The HTTP handlers for callers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from tealcove import clock, ids, inbound, listener, settings, telemetry
from tealcove.backends import engine, service
from tealcove.callermemory import body, budget, holding
from tealcove.claims import claimer
from tealcove.dispatch import messages, requester
from tealcove.entry import (
    acceptance,
    admission_control,
    admitted,
    call,
    caller,
    claiming,
    exchange,
    fields,
    forward,
    generation,
    lifecycle,
    observer,
    points,
    problem,
    progress,
    sending,
    spans,
    witnessing,
)
from tealcove.membership import members
from tealcove.membership import messages as membership_messages
from tealcove.resources import copy
from tealcove.witness import messages as witness_messages
from tealcove.witness import role as witness_role

# Serves a request whose caller is authenticated and whose body has been read.
Handler = Callable[
    [acceptance.Received, observer.ObservedRequest], Awaitable[web.StreamResponse]
]


class Entry:
    """Accepts requests and answers each exactly once."""

    def __init__(
        self,
        found: settings.Settings,
        configuration: copy.ConfigurationCopy,
        known: members.Members,
        engines: engine.EngineClient,
        services: service.ServiceClient,
        tickets: requester.Requester,
        claims: claimer.Claimer,
        admission: admission_control.AdmissionControl | None = None,
        source: telemetry.Source | None = None,
        witness: witness_role.Witness | None = None,
        memory: budget.Budget | None = None,
    ) -> None:
        self.witness = witness
        self.memory = memory or budget.Budget()
        self.settings = found
        self.configuration = configuration
        self.members = known
        self.engines = engines
        self.services = services
        self.tickets = tickets
        self.claims = claims
        self.admission_control = admission
        self.observer = observer.Observer(source)
        self.spans = spans.RequestSpans(source)
        # Requests in progress by client account and idempotency key. A request with
        # the same key joins the one in progress instead of starting another.
        self.joinable: dict[tuple[str, str], exchange.Exchange] = {}
        self.in_progress: set[exchange.Exchange] = set()
        # Requests whose bodies are being read.
        self.reading: set[progress.Progress] = set()

    def routes(self) -> list[web.RouteDef]:
        """Return the handlers to mount; the last is for all other paths."""
        return [
            web.post("/v1/completions", self.completions),
            web.post("/v1/chat/completions", self.chat),
            web.get("/v1/entry-points", self.entry_points),
            web.route("*", "/{path:.*}", self.forward),
        ]

    async def entry_points(self, request: web.Request) -> web.Response:
        """Return the addresses of the serving instances.

        An instance that knows of none yet answers with a problem. Callers would
        cache an empty list for its time to live, and send nothing meanwhile.
        """
        found = points.list_entry_points(self.members, self.settings, clock.now())
        if not found.entry_points:
            reason = messages.RefusalReason.NOT_READY
            error = problem.not_run(reason, 1.0, self.alternatives())
            return problem.respond(error.problem)
        return web.Response(
            body=msgspec.json.encode(found),
            content_type="application/json",
            headers={"Cache-Control": f"max-age={int(found.ttl_seconds)}"},
        )

    async def completions(self, request: web.Request) -> web.StreamResponse:
        """Serve `POST /v1/completions`."""
        return await self.generate(request, call.parse_completion)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Serve `POST /v1/chat/completions`."""
        return await self.generate(request, call.parse_chat)

    async def generate(
        self, request: web.Request, parse: Callable[[bytes], call.EngineCall]
    ) -> web.StreamResponse:
        """Answer one request for an engine."""

        async def serve(
            received: acceptance.Received, observed: observer.ObservedRequest
        ) -> web.StreamResponse:
            engine_call = parse(received.body)
            accepted = acceptance.accept_generation(
                received,
                engine_call,
                self.configuration.current,
                self.tickets.spread,
            )
            running = self.find_joinable(accepted) or self.start(
                generation.EngineExchange(
                    accepted,
                    self.tickets,
                    self.new_claim(accepted),
                    engine_call,
                    self.engines,
                    self.new_witness(accepted),
                ),
                request,
            )
            with ReaderCount(observed.attach(running)):
                return await sending.send_generation(request, running)

        return await self.answer(request, serve)

    async def forward(self, request: web.Request) -> web.StreamResponse:
        """Answer one call to a plain service, of any method and path."""

        async def serve(
            received: acceptance.Received, observed: observer.ObservedRequest
        ) -> web.StreamResponse:
            accepted = acceptance.accept_call(
                received, self.configuration.current, self.tickets.spread
            )
            running = self.find_joinable(accepted) or self.start(
                forward.ServiceExchange(
                    accepted,
                    self.tickets,
                    self.new_claim(accepted),
                    service_call(received),
                    self.services,
                ),
                request,
            )
            with ReaderCount(observed.attach(running)):
                return await sending.send_reply(request, running)

        return await self.answer(request, serve)

    async def answer(self, request: web.Request, serve: Handler) -> web.StreamResponse:
        """Answer one request; a problem or a stored answer becomes its final answer."""
        request_id = ids.new_request_id()
        with self.observer.observe(request, request_id) as observed:
            try:
                received = await self.receive(request, request_id)
                return await serve(received, observed)
            except problem.ProblemError as error:
                return observed.respond_problem(error.problem)
            except claiming.KeptAnswerError as error:
                return sending.build_response(error.answer)

    async def receive(
        self, request: web.Request, request_id: ids.RequestId
    ) -> acceptance.Received:
        """Return the request with its caller and body; raises ProblemError."""
        self.check_accepting()
        header = request.headers.get("Authorization")
        sender = caller.authenticate(header, self.configuration.current)
        content = await self.read_body(request)
        return acceptance.Received(request_id, sender, request, content)

    async def read_body(self, request: web.Request) -> bytes:
        """Return the whole body; raises ProblemError.

        Without the time limit, a caller that sends it slowly could hold its
        connection and the memory of the received part indefinitely.
        """
        limits = self.settings.limits
        current = progress.Progress()
        self.reading.add(current)
        try:
            async with current.step(None):
                return await body.read(
                    request, inbound.longest_body(request), limits.idle_seconds
                )
        except web.HTTPRequestEntityTooLarge as error:
            raise problem.rejected(
                413, "The body is too long", f"Send at most {limits.body_bytes} bytes."
            ) from error
        except web.RequestPayloadError as error:
            raise problem.rejected(
                400,
                "The body can't be read",
                "Its length or coding isn't what the headers say.",
            ) from error
        except body.ScarceError as error:
            self.memory.refused += 1
            reason = messages.RefusalReason.INSTANCE_OVERLOADED
            raise problem.not_run(
                reason, listener.RETRY_AFTER, self.alternatives()
            ) from error
        except TimeoutError as error:
            if current.is_ended:
                raise self.leaving() from error
            raise problem.rejected(
                408,
                "The body came too slowly",
                f"Send it within {limits.idle_seconds:g} s.",
            ) from error
        finally:
            self.reading.discard(current)

    def check_accepting(self) -> None:
        """Refuse new requests when this instance isn't serving."""
        lifecycle = self.members.own.lifecycle
        if lifecycle is membership_messages.Lifecycle.JOINING:
            raise problem.not_run(
                messages.RefusalReason.NOT_READY, 1.0, self.alternatives()
            )
        if lifecycle is membership_messages.Lifecycle.GONE:
            raise self.leaving()

    def leaving(self) -> problem.ProblemError:
        """Return the error for a request that this instance no longer runs."""
        reason = messages.RefusalReason.LEAVING
        return problem.not_run(reason, 0.0, self.alternatives())

    def end_requests(self) -> None:
        """End all requests in progress; those that haven't run are refused."""
        for current in tuple(self.reading):
            current.end()
        for running in tuple(self.in_progress):
            running.leave()

    def alternatives(self) -> str:
        """Return a sentence with the addresses that a caller may try instead."""
        found = points.list_entry_points(
            self.members, self.settings, clock.now()
        ).entry_points
        if not found:
            return "This instance reaches no other; use another address you know."
        return "Use " + " or ".join(point.url for point in found) + "."

    def find_joinable(self, accepted: admitted.Request) -> exchange.Exchange | None:
        """Return the request in progress with the same key, if there is one.

        Raises ProblemError if it's a different request: its answer isn't for this
        caller.
        """
        running = self.joinable.get(join_key(accepted))
        if running is None or running.state.state is lifecycle.State.NOT_RUN:
            return None
        if running.request.fingerprint != accepted.fingerprint:
            raise problem.key_reused()
        return running

    def new_claim(self, accepted: admitted.Request) -> claiming.RequestClaim | None:
        """Return the claim of a non-idempotent request; None for an idempotent one."""
        if accepted.idempotent:
            return None
        return claiming.RequestClaim(
            self.claims,
            accepted.caller.account,
            accepted.key,
            accepted.request_id,
            accepted.fingerprint,
        )

    def new_witness(
        self, accepted: admitted.Request
    ) -> witnessing.RequestWitness | None:
        """Return the witness of an idempotent request with a key, else None."""
        if self.witness is None or accepted.key is None or not accepted.idempotent:
            return None
        return witnessing.RequestWitness(
            self.witness,
            witness_messages.RequestKey(accepted.caller.account, accepted.key),
            accepted.fingerprint,
            accepted.deadline,
        )

    def start(self, running: exchange.Exchange, http: web.Request) -> exchange.Exchange:
        """Start the task of a request, which keeps its body until it ends."""
        now = clock.now()
        held = self.memory.take_over(holding.of_request(http, now), now)
        running.holding = held
        key = join_key(running.request)
        self.joinable[key] = running
        running.admission_control = self.admission_control
        running.spans = self.spans
        task = asyncio.create_task(running.run())
        running.task = task
        self.in_progress.add(running)

        def finished(ended: asyncio.Task[None]) -> None:
            self.in_progress.discard(running)
            self.memory.close(held)
            if self.joinable.get(key) is running:
                del self.joinable[key]

        task.add_done_callback(finished)
        return running


class ReaderCount:
    """Counts a caller as a reader of a request while it waits for the answer."""

    def __init__(self, running: exchange.Exchange) -> None:
        self.running = running

    def __enter__(self) -> None:
        self.running.readers += 1

    def __exit__(self, *details: object) -> None:
        running = self.running
        running.readers -= 1
        if running.readers == 0 and running.request.idempotent:
            # No caller waits for the result: free the slot of the server.
            running.task.cancel()


def join_key(accepted: admitted.Request) -> tuple[str, str]:
    """Return the key under which a request can be joined."""
    return (accepted.caller.account, accepted.key or accepted.request_id)


def service_call(received: acceptance.Received) -> service.Call:
    """Return the call that is forwarded to the service."""
    http = received.http
    return service.Call(
        request_id=received.request_id,
        method=http.method,
        target=acceptance.raw_target(http),
        headers=fields.forwarded_headers(http.headers),
        body=received.body,
    )
