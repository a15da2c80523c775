"""Trace spans of what an entry waits for: ticket, claim and backend server."""

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
    """Creates spans within a request's span; does nothing if that isn't recorded."""

    def __init__(self, source: telemetry.Source | None = None) -> None:
        self.source = source or telemetry.Source()

    @contextlib.contextmanager
    def ticket(self, pending_ticket: pending.PendingTicket) -> Iterator[None]:
        """Trace a ticket from its sending to its grant or refusal."""
        with self.source.child_span(TICKET_SPAN) as span:
            if span is not None:
                written = telemetry.traceparent()
                pending_ticket.ticket = msgspec.structs.replace(
                    pending_ticket.ticket, traceparent=written
                )
            yield

    def claim(self) -> contextlib.AbstractContextManager[trace.Span | None]:
        """Trace a claim from its sending to the writer's reply."""
        return self.source.child_span(CLAIM_SPAN)

    def server(
        self, server: engine.Server
    ) -> contextlib.AbstractContextManager[trace.Span | None]:
        """Trace a request's run on a backend server."""
        return self.source.child_span(SERVER_SPAN, **{"tealcove.server": server.name})

    def add_event(self, name: str) -> None:
        """Add an event to the current span."""
        if self.source.tracing:
            trace.get_current_span().add_event(name)
