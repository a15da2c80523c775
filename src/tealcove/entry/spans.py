"""The spans of a request's way on from its entry."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import msgspec
from opentelemetry import trace

from tealcove import telemetry
from tealcove.backends import engine
from tealcove.dispatch import pending

TICKET_SPAN = "ticket"
CLAIM_SPAN = "claim"
SERVER_SPAN = "backend server"
DISPATCHED = "dispatched"
FIRST_TOKEN = "first token"


class RequestSpans:
    """Spans within the span of a request; nothing where that isn't recorded."""

    def __init__(self, source: telemetry.Source | None = None) -> None:
        self.source = source or telemetry.Source()

    @contextlib.contextmanager
    def ticket(self, pending_ticket: pending.PendingTicket) -> Iterator[None]:
        """Watch a ticket from the asking to its grant or refusal."""
        with self.source.step(TICKET_SPAN) as span:
            if span is not None:
                written = telemetry.traceparent()
                pending_ticket.ticket = msgspec.structs.replace(
                    pending_ticket.ticket, traceparent=written
                )
            yield

    def claim(self) -> contextlib.AbstractContextManager[trace.Span | None]:
        """Watch a claim from the asking to the writer's reply."""
        return self.source.step(CLAIM_SPAN)

    def server(
        self, server: engine.Server
    ) -> contextlib.AbstractContextManager[trace.Span | None]:
        """Watch a request's run on a backend server."""
        return self.source.step(SERVER_SPAN, **{"tealcove.server": server.name})

    def add_event(self, name: str) -> None:
        """Note an instant within the current span."""
        if self.source.tracing:
            trace.get_current_span().add_event(name)
