"""The stream to a caller, across all attempts of its request."""

from __future__ import annotations

from aiohttp import web

from tealcove import clock, ids
from tealcove.ingress import events, failures, link, responses


class CallerStream:
    """Forwards complete events in order, from one server after another."""

    def __init__(self, http: web.Request, last_event: int | None) -> None:
        self.http = http
        self.order = events.OrderChecker(last_event)
        # Started at the first event, with the head from the server that sent it.
        self.response: web.StreamResponse | None = None
        self.first_event_at: ids.Instant | None = None
        # Since when the caller waits for its next event; None before the first one and
        # while the caller itself is written to.
        self.paused_at: ids.Instant | None = None
        # Seconds of the longest such wait.
        self.longest_pause = 0.0

    def end_pause(self, now: ids.Instant) -> None:
        """Note that an event arrived; costs a comparison, since it runs per chunk."""
        if self.paused_at is not None:
            pause = now - self.paused_at
            if pause > self.longest_pause:
                self.longest_pause = pause
            self.paused_at = None

    def check(self, completed: list[events.Event]) -> None:
        """Raise BackendError unless these are the next events."""
        last = self.order.last
        if not all(self.order.accept(event) for event in completed):
            # None of them is forwarded, so another run must bring them all again.
            self.order.last = last
            raise failures.broken("an event arrived out of order")

    async def forward(self, head: link.Head, completed: list[events.Event]) -> None:
        """Write events that were checked to the caller."""
        await self.write(head, b"".join(event.content for event in completed))

    async def end(self, head: link.Head, rest: bytes) -> web.StreamResponse:
        """End the response; raises BackendError for an incomplete last event."""
        if rest:
            raise failures.broken("it ended in the middle of an event")
        if self.response is None and self.order.last is None:
            raise failures.broken("it ended before its first event")
        if self.response is None:
            await self.write(head, b"")
        await self.response.write_eof()
        return self.response

    async def write(self, head: link.Head, content: bytes) -> None:
        """Start the response if necessary, and write a part of it."""
        if self.response is None:
            self.first_event_at = clock.now()
            self.response = responses.stream_response(head)
            await self.response.prepare(self.http)
        if content:
            await self.response.write(content)
