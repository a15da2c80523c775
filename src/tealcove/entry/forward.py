"""A call to a plain service, forwarded once and answered whole."""

from __future__ import annotations

import contextlib

from tealcove import clock
from tealcove.backends import engine, reach, service
from tealcove.claims import claim
from tealcove.dispatch import pending, requester
from tealcove.entry import admitted, claiming, exchange, failures, fields, reply

NOT_MODIFIED = 304
# aiohttp takes a limit of 0 for none.
LEAST_SECONDS = 0.001


class ServiceExchange(exchange.Exchange):
    """Forwards one call; a response that breaks off is never taken for whole."""

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

    async def carry_out(
        self, hold: pending.PendingTicket, server: engine.Server
    ) -> None:
        """See Exchange."""

        def dispatched() -> None:
            self.note_dispatch(hold, server)

        remaining = max(LEAST_SECONDS, self.request.deadline - clock.now())
        stream = self.services.call(server, self.call, remaining, dispatched)
        try:
            async with contextlib.aclosing(stream) as parts:
                async for part in parts:
                    await self.take(part)
        except engine.BrokenStreamError as error:
            if await reach.refuses_connections(server):
                raise failures.CrashError(server.name) from error
            raise

    async def take(self, part: service.Head | bytes) -> None:
        """Put a part of the response into the answer."""
        if isinstance(part, service.Head):
            self.first_token_at = clock.now()
            self.answer.begin(part)
        else:
            await self.answer.add(part)

    def usage(self) -> engine.Usage:
        """See Exchange."""
        work = self.request.work
        return engine.Usage(work.prompt_tokens, 0, work.output_tokens)

    def whole_answer(self) -> claim.StoredAnswer | None:
        """See Exchange."""
        found = self.answer
        if found.is_long:
            return None
        headers = fields.returned_headers(found.head, self.request.request_id)
        if self.call.method == "HEAD" or found.head.status == NOT_MODIFIED:
            # The length is that of the body which a GET would have got.
            headers += fields.length_of(found.head)
        return claim.StoredAnswer(found.head.status, headers, found.body())
