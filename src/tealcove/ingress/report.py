"""Reports one attempt of a request to the dispatcher."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import messages, pending, requester, statements
from tealcove.ingress import link


class AttemptReport:
    """Sends the progress and the end of one attempt to the dispatcher."""

    def __init__(
        self,
        tickets: requester.Requester,
        pending_ticket: pending.PendingTicket,
        grant: messages.Grant,
    ) -> None:
        self.tickets = tickets
        self.pending_ticket = pending_ticket
        self.grant = grant
        self.sent_at: ids.Instant | None = None
        self.first_at: ids.Instant | None = None
        self.trace = link.PathTrace([])
        self.is_rejected = False
        self.is_success = False
        # The load that the head of the response stated, and when it arrived.
        self.load: messages.StatedLoad | None = None
        self.load_at: ids.Instant = ids.Instant(0.0)
        tickets.mark_running(
            pending_ticket, grant.server, grant.start, grant.copy_server
        )

    def dispatched(self, now: ids.Instant) -> None:
        """Record that the request is about to be written."""
        self.sent_at = now

    def answered(self, said: statements.Statement, now: ids.Instant) -> None:
        """Record what the server's answer states, and who reached the server."""
        self.load, self.load_at = said.load, now
        if self.trace.lost and self.trace.reached is not None:
            report = messages.PathReport(
                cell=self.pending_ticket.ticket.cell,
                server=self.grant.server,
                reached=self.trace.reached,
                lost=tuple(self.trace.lost),
                age=now - self.trace.reached_at,
            )
            self.tickets.send(self.pending_ticket, report)
        self.tickets.record_statement(self.pending_ticket, self.grant, said, now)

    def first_event(self, now: ids.Instant) -> None:
        """Report the arrival of the first event."""
        self.first_at = now
        progress = messages.Progress(
            ticket_id=self.pending_ticket.ticket.ticket_id,
            cell=self.pending_ticket.ticket.cell,
            first_token_seconds=now - self.sent_at,
            server=self.grant.server,
            reached=self.trace.reached or ids.InstanceId(""),
            load=self.load,
            load_age=self.load_age(now),
        )
        self.tickets.send(self.pending_ticket, progress)

    def load_age(self, now: ids.Instant) -> float:
        """Return the seconds since the server stated its load; 0 if it stated none."""
        return 0.0 if self.load is None else now - self.load_at

    def end(
        self, outcome: messages.Outcome, tokens: int, now: ids.Instant
    ) -> messages.Done:
        """Report the outcome, which releases the slot; return the message."""
        ticket = self.pending_ticket.ticket
        sent_at = now if self.sent_at is None else self.sent_at
        first_at = now if self.first_at is None else self.first_at
        done = messages.Done(
            ticket_id=ticket.ticket_id,
            cell=ticket.cell,
            server=self.grant.server,
            outcome=outcome,
            prompt_tokens=ticket.prompt_tokens,
            cached_tokens=0,
            output_tokens=tokens,
            first_token_seconds=first_at - sent_at,
            total_seconds=now - sent_at,
            start=self.grant.start,
            reached=self.trace.reached or ids.InstanceId(""),
            lost=tuple(self.trace.lost),
            is_rejected=self.is_rejected,
            is_success=self.is_success,
            load=self.load,
            load_age=self.load_age(now),
        )
        self.tickets.finish(self.pending_ticket, done)
        return done
