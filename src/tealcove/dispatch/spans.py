"""The dispatcher's spans: a ticket from the queue to its grant or refusal."""

from __future__ import annotations

import typing

from tealcove import ids, measuring
from tealcove.dispatch import messages

if typing.TYPE_CHECKING:
    from opentelemetry import trace

SPAN = "dispatcher"
OUTCOME = "tealcove.outcome"
GRANTED = "granted"
WITHDRAWN = "withdrawn"
FORGOTTEN = "forgotten"
# Spans that are open at the most. A ticket whose entry is gone gets no answer;
# without a bound its span would stay for ever.
MAX_OPEN = 5_000


class Spans:
    """Open spans by ticket; only tickets of recorded traces have one."""

    def __init__(self, source: measuring.Source | None = None) -> None:
        self.source = source or measuring.Nothing()
        self.open: dict[ids.TicketId, trace.Span] = {}

    def begin(self, ticket: messages.Ticket) -> None:
        """Open the span of a ticket that is to be queued, at its first telling."""
        if not (ticket.traceparent and self.source.tracing):
            return
        if ticket.running_on is not None or ticket.ticket_id in self.open:
            return
        if len(self.open) >= MAX_OPEN:
            self.end(next(iter(self.open)), FORGOTTEN)
        # Here, since an instance that traces nothing needs nothing of it.
        from tealcove import telemetry

        self.open[ticket.ticket_id] = self.source.tracer.start_span(
            SPAN,
            context=telemetry.context_of(ticket.traceparent),
            attributes={"tealcove.cell": ticket.cell},
        )

    def answer(
        self,
        sent: messages.Grant | messages.Refusal | messages.Preempt | messages.Queued,
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
