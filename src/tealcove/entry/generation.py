"""A request for a completion, run on a model engine."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from tealcove import clock, errors
from tealcove.backends import engine
from tealcove.claims import claim
from tealcove.dispatch import messages, pending, requester
from tealcove.entry import (
    admitted,
    answer,
    call,
    claiming,
    exchange,
    failures,
    openai,
    spans,
    witnessing,
)
from tealcove.witness import messages as witness_messages

# Attempts to resume a broken stream, and the pause after a failed one in seconds.
RESUME_ATTEMPTS = 20
RESUME_PAUSE = 0.1
EVENT_STREAM = "text/event-stream"
JSON = "application/json"


class EngineExchange(exchange.Exchange):
    """Dispatches to an engine once, and resumes a broken stream where it broke."""

    def __init__(
        self,
        request: admitted.Request,
        tickets: requester.Requester,
        claimed: claiming.RequestClaim | None,
        engine_call: call.EngineCall,
        engines: engine.EngineClient,
        witness: witnessing.RequestWitness | None = None,
    ) -> None:
        super().__init__(request, tickets, claimed)
        self.call = engine_call
        self.engines = engines
        self.answer = answer.Answer()
        # None: no other entry can find out where the request runs.
        self.witness = witness
        # The engine's id of the run; a lost entry's run keeps that entry's request id.
        self.run_id = request.request_id
        # The stream of a lost entry's run that this request took over.
        self.takeover_stream: AsyncIterator[engine.Chunk] | None = None

    async def run(self) -> None:
        """See Exchange."""
        try:
            await super().run()
        finally:
            if self.witness is not None:
                self.witness.delete()

    async def run_with_slot(self) -> None:
        """Take over the run of a lost entry if there is one, or obtain a slot."""
        found = None if self.witness is None else await self.witness.find_lost()
        if found is None or not await self.take_over(found):
            await super().run_with_slot()

    async def take_over(self, found: witness_messages.Record) -> bool:
        """Resume a run from its first token; False if the engine has it no longer.

        Nothing is recorded before the first event arrives, so that the request can
        still be dispatched normally.
        """
        server = engine.Server(found.server, found.host, found.port)
        stream = self.engines.resume(server, found.request_id, 0)
        try:
            first = await anext(stream)
        except (errors.BackendError, StopAsyncIteration):
            return False
        self.run_id = found.request_id
        self.takeover_stream = stream
        self.state.wait()
        pending_ticket = self.new_pending_ticket()
        witnessing.adopt_ticket(pending_ticket, found, self.tickets)
        self.mark_dispatched(pending_ticket, server)
        witnessing.announce_takeover(pending_ticket, self.tickets)
        self.add_chunk(pending_ticket, first)
        await self.run_granted(pending_ticket, server)
        return True

    async def execute(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """See Exchange."""
        completion = engine.Completion(
            request_id=self.request.request_id,
            model=self.call.model,
            adapter=self.call.adapter,
            prompt=self.call.prompt,
            max_tokens=self.call.max_tokens,
        )

        def dispatched() -> None:
            self.mark_dispatched(pending_ticket, server)

        stream = self.takeover_stream
        if stream is None:
            stream = self.engines.generate(server, completion, dispatched)
        with contextlib.suppress(engine.BrokenStreamError, answer.GapError):
            await self.collect(pending_ticket, stream)
        for _ in range(RESUME_ATTEMPTS):
            if self.answer.is_complete:
                return
            await self.resume(pending_ticket, server)
        if not self.answer.is_complete:
            raise failures.CrashError(server.name)

    async def resume(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """Resume the stream from the first missing token.

        This isn't a second dispatch: the engine continues the same run.
        """
        self.answer.early_chunks.clear()
        offset = self.answer.next_index
        stream = self.engines.resume(server, self.run_id, offset)
        try:
            await self.collect(pending_ticket, stream)
        except engine.NotDispatchedError:
            # Reported at once: before the attempts are over, the caller may send
            # the same request to another entry and crash another server with it.
            self.report_server_lost(pending_ticket, server)
            await asyncio.sleep(RESUME_PAUSE)
        except (engine.BrokenStreamError, answer.GapError):
            await asyncio.sleep(RESUME_PAUSE)
        except engine.RefusedCallError as error:
            if self.takeover_stream is not None:
                # The entry that seemed lost was only paused. It continued, found
                # its caller gone, and cancelled the run.
                raise
            # The server doesn't know a request that it ran: it has crashed and was
            # restarted before its absence was detected.
            raise failures.CrashError(server.name) from error

    async def collect(
        self, pending_ticket: pending.PendingTicket, stream: object
    ) -> None:
        """Add the chunks of a stream to the answer."""
        async with contextlib.aclosing(stream) as chunks:
            async for chunk in chunks:
                self.add_chunk(pending_ticket, chunk)

    def add_chunk(
        self, pending_ticket: pending.PendingTicket, chunk: engine.Chunk
    ) -> None:
        """Add a chunk to the answer; raises GapError."""
        self.answer.add(chunk)
        if self.first_token_at is None:
            self.report_first_token(pending_ticket)

    def mark_dispatched(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """See Exchange; the witness's record is stored first."""
        if self.witness is not None:
            self.witness.store(pending_ticket.ticket, server)
        super().mark_dispatched(pending_ticket, server)

    def report_first_token(self, pending_ticket: pending.PendingTicket) -> None:
        """Notify the dispatcher that the prefill is over."""
        self.first_token_at = clock.now()
        self.spans.add_event(spans.FIRST_TOKEN)
        progress = messages.Progress(
            ticket_id=pending_ticket.ticket.ticket_id,
            cell=pending_ticket.ticket.cell,
            first_token_seconds=self.first_token_at - self.dispatched_at,
        )
        self.tickets.send(pending_ticket, progress)

    def usage(self) -> engine.Usage:
        """See Exchange."""
        reported = self.answer.usage
        prompt = reported.prompt_tokens if reported else self.request.work.prompt_tokens
        cached = reported.cached_tokens if reported else 0
        return engine.Usage(prompt, cached, self.answer.next_index)

    def done_message(
        self,
        pending_ticket: pending.PendingTicket,
        server: engine.Server,
        outcome: messages.Outcome,
    ) -> messages.Done:
        """See Exchange; the times of a run taken over are too short to learn from."""
        if self.takeover_stream is not None and outcome is messages.Outcome.COMPLETED:
            outcome = messages.Outcome.CANCELLED
        return super().done_message(pending_ticket, server, outcome)

    def renderer(self) -> openai.Renderer:
        """Return the renderer of the answer."""
        call = self.call
        return openai.Renderer(self.request.request_id, call.model, call.chat)

    def complete_answer(self) -> claim.StoredAnswer:
        """See Exchange; for a streamed request, the body is its events."""
        found = self.answer
        renderer = self.renderer()
        if self.call.stream:
            closing = renderer.closing_event(found.finish, found.usage)
            body = renderer.chunk_event(found.text()) + closing + openai.DONE_EVENT
            content_type = EVENT_STREAM
        else:
            body = renderer.full_body(found.text(), found.finish, found.usage)
            content_type = JSON
        headers = (
            ("Content-Type", content_type),
            ("X-Request-Id", self.request.request_id),
        )
        return claim.StoredAnswer(200, headers, body)

    def predicted_tokens(self) -> int:
        """See Exchange."""
        return self.request.work.prompt_tokens + self.request.work.output_tokens

    async def cancel_leftover(self, server: engine.Server) -> None:
        """See Exchange."""
        with contextlib.suppress(errors.BackendError):
            await asyncio.shield(self.engines.cancel(server, self.run_id))
