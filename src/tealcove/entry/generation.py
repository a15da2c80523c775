"""A request for a completion, run on a model engine."""

from __future__ import annotations

import asyncio
import contextlib

from tealcove import clock, errors
from tealcove.backends import engine
from tealcove.claims import claim
from tealcove.dispatch import messages, requester
from tealcove.entry import answer, call, claiming, exchange, hops, openai

# A broken stream is taken up again so often, and with this pause in seconds.
RESUME_ATTEMPTS = 20
RESUME_PAUSE = 0.1
EVENT_STREAM = "text/event-stream"
JSON = "application/json"


class EngineExchange(exchange.Exchange):
    """Generates once, and takes a broken stream up again where it broke."""

    def __init__(
        self,
        request: exchange.Request,
        tickets: requester.Requester,
        claimed: claiming.RequestClaim | None,
        engine_call: call.EngineCall,
        engines: engine.EngineClient,
    ) -> None:
        super().__init__(request, tickets, claimed)
        self.call = engine_call
        self.engines = engines
        self.answer = answer.Answer()

    async def carry_out(self, hold: requester.Hold, server: engine.Server) -> None:
        """See Exchange."""
        completion = engine.Completion(
            request_id=self.request.request_id,
            model=self.call.model,
            adapter=self.call.adapter,
            prompt=self.call.prompt,
            max_tokens=self.call.max_tokens,
        )

        def dispatched() -> None:
            self.note_dispatch(hold, server)

        with contextlib.suppress(engine.BrokenStreamError, answer.GapError):
            stream = self.engines.generate(server, completion, dispatched)
            await self.collect(hold, stream)
        for _ in range(RESUME_ATTEMPTS):
            if self.answer.is_whole:
                return
            await self.resume(hold, server)
        if not self.answer.is_whole:
            raise exchange.CrashError(server.name)

    async def resume(self, hold: requester.Hold, server: engine.Server) -> None:
        """Take the stream up from the first token that is missing.

        This is no second dispatch: the engine goes on with the same run.
        """
        self.answer.early.clear()
        offset = self.answer.next_index
        stream = self.engines.resume(server, self.request.request_id, offset)
        try:
            await self.collect(hold, stream)
        except engine.NotDispatchedError:
            # Told at once: until the attempts are over, the caller may send the
            # same request to another entry, and kill another server with it.
            self.note_lost(hold, server)
            await asyncio.sleep(RESUME_PAUSE)
        except (engine.BrokenStreamError, answer.GapError):
            await asyncio.sleep(RESUME_PAUSE)
        except engine.RefusedCallError as error:
            # The server knows nothing of a request that it ran: it has crashed
            # and was restarted before anybody could see that it was gone.
            raise exchange.CrashError(server.name) from error

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
        self.hops.event(hops.FIRST_TOKEN)
        progress = messages.Progress(
            ticket_id=hold.ticket.ticket_id,
            cell=hold.ticket.cell,
            first_token_seconds=self.first_token_at - self.dispatched_at,
        )
        self.tickets.tell(hold, progress)

    def usage(self) -> engine.Usage:
        """See Exchange."""
        told = self.answer.usage
        prompt = told.prompt_tokens if told else self.request.work.prompt_tokens
        cached = told.cached_tokens if told else 0
        return engine.Usage(prompt, cached, self.answer.next_index)

    def form(self) -> openai.Form:
        """Return what renders the answer."""
        call = self.call
        return openai.Form(self.request.request_id, call.model, call.chat)

    def whole_answer(self) -> claim.KeptAnswer:
        """See Exchange; of a streamed answer it is the events in one piece."""
        found = self.answer
        form = self.form()
        if self.call.stream:
            closing = form.closing_event(found.finish, found.usage)
            body = form.event(found.text()) + closing + openai.DONE_EVENT
            content_type = EVENT_STREAM
        else:
            body = form.whole(found.text(), found.finish, found.usage)
            content_type = JSON
        headers = (
            ("Content-Type", content_type),
            ("X-Request-Id", self.request.request_id),
        )
        return claim.KeptAnswer(200, headers, body)

    def predicted_tokens(self) -> int:
        """See Exchange."""
        return self.request.work.prompt_tokens + self.request.work.output_tokens

    async def stop_leftover(self, server: engine.Server) -> None:
        """See Exchange."""
        with contextlib.suppress(errors.BackendError):
            await asyncio.shield(self.engines.cancel(server, self.request.request_id))
