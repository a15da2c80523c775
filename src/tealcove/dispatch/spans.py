"""The dispatcher's trace spans, each from queueing a ticket to its grant or refusal."""

from __future__ import annotations

import typing

from tealcove import ids, measuring
from tealcove.dispatch import messages
from tealcove.peers import message

if typing.TYPE_CHECKING:
    from opentelemetry import trace

SPAN = "dispatcher"
OUTCOME = "tealcove.outcome"
GRANTED = "granted"
WITHDRAWN = "withdrawn"
FORGOTTEN = "forgotten"
# Upper bound on open spans. A ticket whose entry is lost gets no answer; without a
# bound its span would stay open indefinitely.
MAX_OPEN = 5_000


class Spans:
    """The open spans by ticket; only tickets of recorded traces have one."""

    def __init__(self, source: measuring.Source | None = None) -> None:
        self.source = source or measuring.NoOpSource()
        self.open: dict[ids.TicketId, trace.Span] = {}

    def begin(self, ticket: messages.Ticket) -> None:
        """Open the span of a ticket when it's first received."""
        if not (ticket.traceparent and self.source.tracing):
            return
        if ticket.running_on is not None or ticket.ticket_id in self.open:
            return
        if len(self.open) >= MAX_OPEN:
            self.end(next(iter(self.open)), FORGOTTEN)
        # Imported here, since an instance without tracing doesn't need it.
        from tealcove import telemetry

        self.open[ticket.ticket_id] = self.source.tracer.start_span(
            SPAN,
            context=telemetry.context_of(ticket.traceparent),
            attributes={"tealcove.cell": ticket.cell},
        )

    def answer(
        self,
        sent: message.Message,
    ) -> None:
        """Close the span of a ticket that is granted or refused."""
        if not self.open:
            return
        if isinstance(sent, messages.Grant):
            self.end(sent.ticket_id, GRANTED)
        elif isinstance(sent, messages.Refusal):
            self.end(sent.ticket_id, sent.reason.value)

    def end(self, ticket_id: ids.TicketId, outcome: str) -> None:
        """Close a ticket's span, if it's open."""
        span = self.open.pop(ticket_id, None)
        if span is not None:
            span.set_attribute(OUTCOME, outcome)
            span.end()
