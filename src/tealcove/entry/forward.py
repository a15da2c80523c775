"""A call to a plain service, forwarded once."""

from __future__ import annotations

import asyncio
import contextlib

from tealcove import clock
from tealcove.backends import engine, reach, service
from tealcove.callermemory import answer as caller_answer
from tealcove.claims import claim
from tealcove.dispatch import pending, requester
from tealcove.entry import admitted, claiming, exchange, failures, fields, reply

NOT_MODIFIED = 304
# aiohttp treats a timeout of 0 as none.
MIN_TIMEOUT_SECONDS = 0.001


class ServiceExchange(exchange.Exchange):
    """Forwards one call; a truncated response is never passed off as complete."""

    def __init__(
        self,
        request: admitted.Request,
        tickets: requester.Requester,
        claimed: claiming.RequestClaim | None,
        call: service.Call,
        services: service.ServiceClient,
    ) -> None:
        super().__init__(request, tickets, claimed)
        self.call = call
        self.services = services
        self.answer = reply.Reply()
        # What is kept of the request's own body.
        self.body_kept = 0

    async def execute(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """See Exchange."""

        def dispatched() -> None:
            self.mark_dispatched(pending_ticket, server)

        self.body_kept = self.holding.kept
        remaining = max(MIN_TIMEOUT_SECONDS, self.request.deadline - clock.now())
        stream = self.services.call(server, self.call, remaining, dispatched)
        try:
            async with contextlib.aclosing(stream) as parts:
                async for part in parts:
                    await self.add_part(part)
        except engine.BrokenStreamError as error:
            if await reach.refuses_connections(server, self.services.stalls):
                raise failures.CrashError(server.name) from error
            raise

    async def add_part(self, part: service.Head | bytes) -> None:
        """Add a part of the response to the answer."""
        if isinstance(part, service.Head):
            self.first_token_at = clock.now()
            self.answer.set_head(part)
        else:
            await self.keep(len(part))
            await self.answer.add(part)
            # Callers may have read parts of a long answer meanwhile.
            self.holding.keep_only(self.body_kept + self.answer.buffered_bytes)

    async def keep(self, size: int) -> None:
        """Wait until a part may be kept; raises BrokenStreamError at the deadline."""
        seconds = self.request.deadline - clock.now()
        try:
            async with asyncio.timeout(seconds):
                await caller_answer.wait_to_keep(
                    self.holding, size, self.answer.buffered_bytes
                )
        except TimeoutError as error:
            raise engine.BrokenStreamError(
                "There was no memory for the answer until the deadline",
                "Raise machine.memory_mb, or add instances.",
            ) from error

    def usage(self) -> engine.Usage:
        """See Exchange."""
        work = self.request.work
        return engine.Usage(work.prompt_tokens, 0, work.output_tokens)

    def complete_answer(self) -> claim.StoredAnswer | None:
        """See Exchange."""
        found = self.answer
        if found.is_long:
            return None
        headers = fields.returned_headers(found.head, self.request.request_id)
        if self.call.method == "HEAD" or found.head.status == NOT_MODIFIED:
            # The length is that of the body that a GET would return.
            headers += fields.content_length(found.head)
        return claim.StoredAnswer(found.head.status, headers, found.body())
