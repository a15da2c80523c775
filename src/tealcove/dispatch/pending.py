"""A ticket of this entry, from the request for a slot to the end of the request."""

from __future__ import annotations

import asyncio

import msgspec

from tealcove import clock, ids
from tealcove.dispatch import messages

# Seconds after which callers may retry when nothing tells how long it takes.
RETRY_AFTER = 1.0


class PendingTicket:
    """A ticket with its dispatcher and the futures of its answers."""

    def __init__(
        self,
        ticket: messages.Ticket,
        deadline: ids.Instant,
        near: ids.DataCentreId | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.ticket = ticket
        self.deadline = deadline
        self.near = near
        self.since = clock.now()
        self.dispatcher: ids.InstanceId | None = None
        # The dispatcher's incarnation when it was asked; a process restarted under the
        # same name doesn't have the ticket.
        self.incarnation: ids.Incarnation | None = None
        # Done when another dispatcher than the one asked is first in rank.
        self.moved: asyncio.Future[None] = loop.create_future()
        # Whether the dispatcher that was asked last has replied in time.
        self.replied: asyncio.Future[bool] = loop.create_future()
        self.answer: asyncio.Future[messages.Grant | messages.Refusal] = (
            loop.create_future()
        )
        self.preempted: asyncio.Future[messages.Preempt] = loop.create_future()

    def set_replied(self, in_time: bool = True) -> None:
        """Record whether the dispatcher that was asked last replied in time."""
        if not self.replied.done():
            self.replied.set_result(in_time)

    @property
    def alone(self) -> bool:
        """Whether the request runs alone on its server."""
        if not self.answer.done() or self.answer.cancelled():
            return False
        found = self.answer.result()
        return isinstance(found, messages.Grant) and found.alone


def current(request: PendingTicket, now: ids.Instant) -> messages.Ticket:
    """Return a ticket with its times updated to now."""
    return msgspec.structs.replace(
        request.ticket,
        remaining=max(0.0, request.deadline - now),
        waited=now - request.since,
    )


def signal_move(request: PendingTicket) -> None:
    """Signal that a waiting ticket must be sent to another dispatcher."""
    if not request.moved.done():
        request.moved.set_result(None)


def withdrawal(ticket: messages.Ticket) -> messages.Withdrawal:
    """Return the message that withdraws a ticket."""
    return messages.Withdrawal(ticket_id=ticket.ticket_id, cell=ticket.cell)


def local_refusal(
    request: PendingTicket,
    reason: messages.RefusalReason,
    retry_after: float = RETRY_AFTER,
) -> messages.Refusal:
    """Return a refusal that the entry itself decides."""
    return messages.Refusal(
        ticket_id=request.ticket.ticket_id, reason=reason, retry_after=retry_after
    )
