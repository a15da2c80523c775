"""The stream that a caller gets, over all sendings of its request."""

from __future__ import annotations

from aiohttp import web

from tealcove import clock, ids
from tealcove.ingress import answers, events, failures, link


class CallerStream:
    """Passes whole events on, in order, from one server after another."""

    def __init__(self, http: web.Request, last_event: int | None) -> None:
        self.http = http
        self.order = events.OrderChecker(last_event)
        # Begun with the first event, with the head of the server that sent it.
        self.response: web.StreamResponse | None = None
        self.first_event_at: ids.Instant | None = None

    def check(self, whole: list[events.Event]) -> None:
        """Raise BackendError unless these are the events that come next."""
        if not all(self.order.accept(event) for event in whole):
            raise failures.broken("an event out of order came")

    async def forward(self, head: link.Head, whole: list[events.Event]) -> None:
        """Write checked events to the caller."""
        await self.write(head, b"".join(event.content for event in whole))

    async def end(self, head: link.Head, rest: bytes) -> web.StreamResponse:
        """End the answer; raises BackendError if a part of an event is left."""
        if rest:
            raise failures.broken("it ended within an event")
        if self.response is None:
            await self.write(head, b"")
        await self.response.write_eof()
        return self.response

    async def write(self, head: link.Head, content: bytes) -> None:
        """Begin the answer if it isn't begun, and write a part of it."""
        if self.response is None:
            self.first_event_at = clock.now()
            self.response = answers.stream_response(head)
            await self.response.prepare(self.http)
        if content:
            await self.response.write(content)
