"""A call to a plain service, forwarded once and answered whole."""

from __future__ import annotations

import contextlib
from collections.abc import Mapping

from tealcove import clock
from tealcove.backends import engine, reach, service
from tealcove.claims import claim
from tealcove.dispatch import pending, requester
from tealcove.entry import admitted, claiming, exchange, failures, reply

CONTENT_LENGTH = "content-length"
NOT_MODIFIED = 304
# Headers that are about one connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The key of an account is ours alone; length and address are those of our own
# connection; `Expect` was answered when the body was read.
NOT_FORWARDED = HOP_BY_HOP | {"authorization", CONTENT_LENGTH, "expect", "host"}
# aiohttp takes a limit of 0 for none.
LEAST_SECONDS = 0.001
REQUEST_ID = "x-request-id"
CONTENT_ENCODING = "content-encoding"
# Codings that aiohttp's server undoes when it reads a request's body.
UNDONE_CODINGS = frozenset({"br", "deflate", "gzip", "zstd"})


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
            if await reach.refuses(server):
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

    def whole_answer(self) -> claim.KeptAnswer | None:
        """See Exchange."""
        found = self.answer
        if found.is_long:
            return None
        headers = returned_headers(found.head, self.request.request_id)
        if self.call.method == "HEAD" or found.head.status == NOT_MODIFIED:
            # The length is that of the body which a GET would have got.
            headers += length_of(found.head)
        return claim.KeptAnswer(found.head.status, headers, found.body())


def forwarded_headers(headers: Mapping[str, str]) -> service.Headers:
    """Return the headers of a caller that go on to the service."""
    pairs = tuple((str(name), value) for name, value in headers.items())
    kept = end_to_end(pairs, NOT_FORWARDED)
    return tuple(pair for pair in kept if not is_undone_coding(*pair))


def returned_headers(head: service.Head, request_id: str) -> service.Headers:
    """Return the headers of a service that go back to the caller."""
    kept = end_to_end(head.headers, HOP_BY_HOP | {REQUEST_ID, CONTENT_LENGTH})
    return (*kept, ("X-Request-Id", request_id))


def length_of(head: service.Head) -> service.Headers:
    """Return the header that tells the body's length, if there is one."""
    return tuple(p for p in head.headers if p[0].lower() == CONTENT_LENGTH)


def end_to_end(headers: service.Headers, dropped: frozenset[str]) -> service.Headers:
    """Return headers without those dropped and those that `Connection` names."""
    lists = [value for name, value in headers if name.lower() == "connection"]
    named = {name.strip().lower() for name in ",".join(lists).split(",")}
    return tuple(p for p in headers if p[0].lower() not in dropped | named)


def is_undone_coding(name: str, value: str) -> bool:
    """Tell whether a header names a coding that the body no longer has."""
    return name.lower() == CONTENT_ENCODING and value.lower() in UNDONE_CODINGS
