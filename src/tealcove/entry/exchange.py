"""One request at its entry, from acceptance to its one final answer."""

from __future__ import annotations

import asyncio
import contextlib

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.backends import engine
from tealcove.dispatch import messages, requester
from tealcove.entry import answer, call, caller, lifecycle, problem

log = logbook.Logger("entry")

# A broken stream is taken up again so often, and with this pause in seconds.
RESUME_ATTEMPTS = 20
RESUME_PAUSE = 0.1
# Servers that may refuse the connection before the request is given up.
CONNECT_ATTEMPTS = 3
RETRY_AFTER = 1.0


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """What the entry knows of a request when it accepts it."""

    request_id: ids.RequestId
    caller: caller.Caller
    call: call.EngineCall
    cell: ids.CellId
    near: ids.DataCentreId | None
    idempotent: bool
    deadline: ids.Instant
    prompt_tokens: int
    prefix: tuple[int, ...]
    digest: str
    key: ids.IdempotencyKey | None = None


class Exchange:
    """The task that carries one request; callers read its `answer`."""

    def __init__(
        self,
        request: Request,
        engines: engine.EngineClient,
        tickets: requester.Requester,
    ) -> None:
        self.request = request
        self.engines = engines
        self.tickets = tickets
        self.answer = answer.Answer()
        self.state = lifecycle.Lifecycle()
        # Callers that read the answer; the entry cancels the task when none is left.
        self.readers = 0
        self.task: asyncio.Task[None] | None = None
        self.excluded: tuple[ids.BackendServerId, ...] = ()
        self.dispatched_at = ids.Instant(0.0)
        self.first_token_at: ids.Instant | None = None

    async def run(self) -> None:
        """Carry the request to its end; the answer always ends with it."""
        try:
            await self.find_server()
            self.answer.end()
        except problem.ProblemError as error:
            self.answer.end(error)
        except asyncio.CancelledError:
            self.answer.end(problem.interrupted("cancelled"))
            raise
        except Exception:
            log.exception("request failed", extra={"request": self.request.request_id})
            self.answer.end(self.fail("internal_error"))
        finally:
            self.state.close()

    async def find_server(self) -> None:
        """Ask for a slot until a server could be connected to."""
        for _ in range(CONNECT_ATTEMPTS):
            self.state.wait()
            hold = self.new_hold()
            granted = await self.obtain(hold)
            server = engine.Server(granted.server, granted.host, granted.port)
            try:
                await self.use(hold, server)
                return
            except engine.NotDispatchedError as error:
                log.info("{}", error, extra={"request": self.request.request_id})
                self.excluded = (*self.excluded, server.name)
        self.state.give_up()
        raise problem.not_run(
            messages.RefusalReason.NO_BACKEND_SERVER,
            RETRY_AFTER,
            "No backend server of the pool could be connected to.",
        )

    def new_hold(self) -> requester.Hold:
        """Return a ticket for this request."""
        request = self.request
        ticket = messages.Ticket(
            ticket_id=ids.new_ticket_id(),
            request_id=request.request_id,
            cell=request.cell,
            entry=self.tickets.members.own.instance,
            tier_rank=request.caller.tier_rank,
            account=request.caller.account,
            idempotent=request.idempotent,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.call.max_tokens,
            prefix=request.prefix,
            remaining=0.0,
            model=request.call.model,
            adapter=request.call.adapter,
            digest=request.digest,
            excluded=self.excluded,
        )
        return requester.Hold(ticket, request.deadline, request.near)

    async def obtain(self, hold: requester.Hold) -> messages.Grant:
        """Return the grant of a slot; raises ProblemError for a refusal."""
        try:
            found = await self.tickets.obtain(hold)
        except asyncio.CancelledError:
            self.tickets.leave(hold)
            raise
        if isinstance(found, messages.Refusal):
            self.state.give_up()
            raise problem.not_run(found.reason, found.retry_after)
        return found

    async def use(self, hold: requester.Hold, server: engine.Server) -> None:
        """Run the request on a granted server, and report how it ended."""
        outcome = messages.Outcome.FAILED
        try:
            await self.generate_unless_preempted(hold, server)
            outcome = messages.Outcome.COMPLETED
        except engine.NotDispatchedError:
            outcome = messages.Outcome.NOT_SENT
            raise
        except asyncio.CancelledError:
            outcome = messages.Outcome.CANCELLED
            raise
        except CrashError as error:
            outcome = messages.Outcome.CRASHED
            raise self.fail("backend_server_lost") from error
        except PreemptedError as error:
            outcome = messages.Outcome.CANCELLED
            raise self.fail("preempted", error.retry_after) from error
        except errors.BackendError as error:
            raise self.fail("backend_server_failed", detail=error.problem) from error
        finally:
            self.tickets.finish(hold, self.describe_end(hold, server, outcome))
            await self.stop_leftover(server, outcome)

    async def generate_unless_preempted(
        self, hold: requester.Hold, server: engine.Server
    ) -> None:
        """Run the request, or stop it when its slot is needed more elsewhere."""
        generating = asyncio.create_task(self.generate(hold, server))
        try:
            await asyncio.wait(
                (generating, hold.preempted), return_when=asyncio.FIRST_COMPLETED
            )
            if not generating.done():
                raise PreemptedError(hold.preempted.result().retry_after)
            generating.result()
        finally:
            generating.cancel()
            await asyncio.gather(generating, return_exceptions=True)

    async def generate(self, hold: requester.Hold, server: engine.Server) -> None:
        """Dispatch once, and take a broken stream up again where it broke."""
        request = self.request
        completion = engine.Completion(
            request_id=request.request_id,
            model=request.call.model,
            adapter=request.call.adapter,
            prompt=request.call.prompt,
            max_tokens=request.call.max_tokens,
        )

        def dispatched() -> None:
            self.state.dispatch()
            self.dispatched_at = clock.now()
            self.tickets.mark_running(hold, server.name)

        with contextlib.suppress(engine.BrokenStreamError, answer.GapError):
            stream = self.engines.generate(server, completion, dispatched)
            await self.collect(hold, stream)
        for _ in range(RESUME_ATTEMPTS):
            if self.answer.is_whole:
                return
            await self.resume(hold, server)
        if not self.answer.is_whole:
            raise CrashError(server.name)

    async def resume(self, hold: requester.Hold, server: engine.Server) -> None:
        """Take the stream up from the first token that is missing.

        This is no second dispatch: the engine goes on with the same run.
        """
        self.answer.early.clear()
        offset = self.answer.next_index
        stream = self.engines.resume(server, self.request.request_id, offset)
        try:
            await self.collect(hold, stream)
        except (
            engine.BrokenStreamError,
            engine.NotDispatchedError,
            answer.GapError,
        ):
            await asyncio.sleep(RESUME_PAUSE)

    async def collect(self, hold: requester.Hold, stream: object) -> None:
        """Put the chunks of a stream into the answer."""
        async with contextlib.aclosing(stream) as chunks:
            async for chunk in chunks:
                self.answer.add(chunk)
                if self.first_token_at is None:
                    self.note_first_token(hold)

    def note_first_token(self, hold: requester.Hold) -> None:
        """Tell the dispatcher that the prefill is over."""
        self.first_token_at = clock.now()
        progress = messages.Progress(
            ticket_id=hold.ticket.ticket_id,
            cell=hold.ticket.cell,
            first_token_seconds=self.first_token_at - self.dispatched_at,
        )
        self.tickets.tell(hold, progress)

    def fail(
        self, reason: str, retry_after: float | None = None, detail: str = ""
    ) -> problem.ProblemError:
        """Take the step to a bad end and return the answer that tells of it."""
        if self.state.state is not lifecycle.State.DISPATCHED:
            if self.state.state in (lifecycle.State.ACCEPTED, lifecycle.State.WAITING):
                self.state.give_up()
            return problem.not_run(
                messages.RefusalReason.NO_BACKEND_SERVER, retry_after, detail
            )
        if self.request.idempotent:
            self.state.interrupt()
            return problem.interrupted(reason, detail, retry_after)
        self.state.lose()
        return problem.unknown(reason, detail)

    def describe_end(
        self,
        hold: requester.Hold,
        server: engine.Server,
        outcome: messages.Outcome,
    ) -> messages.Done:
        """Return the message that frees the slot and teaches the server's speed."""
        if outcome is messages.Outcome.COMPLETED:
            self.state.complete()
        usage = self.answer.usage
        now = clock.now()
        first = self.first_token_at or now
        return messages.Done(
            ticket_id=hold.ticket.ticket_id,
            cell=hold.ticket.cell,
            server=server.name,
            outcome=outcome,
            prompt_tokens=usage.prompt_tokens if usage else self.request.prompt_tokens,
            cached_tokens=usage.cached_tokens if usage else 0,
            output_tokens=self.answer.next_index,
            first_token_seconds=first - self.dispatched_at,
            total_seconds=now - self.dispatched_at,
        )

    async def stop_leftover(
        self, server: engine.Server, outcome: messages.Outcome
    ) -> None:
        """Cancel what the engine may still be working on."""
        if outcome in (messages.Outcome.COMPLETED, messages.Outcome.NOT_SENT):
            return
        with contextlib.suppress(errors.BackendError):
            await asyncio.shield(self.engines.cancel(server, self.request.request_id))


class CrashError(errors.BackendError):
    """The server that ran the request can't be reached any more."""

    def __init__(self, server: ids.BackendServerId) -> None:
        super().__init__(
            f"{server} was lost while it ran the request", "Look at its log."
        )


class PreemptedError(errors.BackendError):
    """The dispatcher asked for the slot back."""

    def __init__(self, retry_after: float) -> None:
        super().__init__("A higher tier needed the slot", "Send the request later.")
        self.retry_after = retry_after
