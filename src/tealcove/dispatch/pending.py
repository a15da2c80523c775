"""A ticket of this entry, from the first asking to the end of its request."""

from __future__ import annotations

import asyncio

import msgspec

from tealcove import clock, ids
from tealcove.dispatch import messages


class PendingTicket:
    """A ticket of this entry, from the first asking to its end."""

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
        # The dispatcher's incarnation when it was asked; its successor under the same
        # name knows nothing of the ticket.
        self.incarnation: ids.Incarnation | None = None
        # Done when the ranking names another dispatcher than the one asked.
        self.moved: asyncio.Future[None] = loop.create_future()
        # Whether the dispatcher that was asked last has answered anything in time.
        self.replied: asyncio.Future[bool] = loop.create_future()
        self.answer: asyncio.Future[messages.Grant | messages.Refusal] = (
            loop.create_future()
        )
        self.preempted: asyncio.Future[messages.Preempt] = loop.create_future()

    def set_replied(self, in_time: bool = True) -> None:
        """Note that the dispatcher that was asked last is there, or seems not to be."""
        if not self.replied.done():
            self.replied.set_result(in_time)

    @property
    def alone(self) -> bool:
        """Tell whether the request has its server for itself."""
        if not self.answer.done() or self.answer.cancelled():
            return False
        found = self.answer.result()
        return isinstance(found, messages.Grant) and found.alone


def current(request: PendingTicket, now: ids.Instant) -> messages.Ticket:
    """Return a ticket with the times that request now."""
    return msgspec.structs.replace(
        request.ticket,
        remaining=max(0.0, request.deadline - now),
        waited=now - request.since,
    )


def signal_move(request: PendingTicket) -> None:
    """Let a waiting ticket be taken to another dispatcher."""
    if not request.moved.done():
        request.moved.set_result(None)


def withdrawal(ticket: messages.Ticket) -> messages.Withdrawal:
    """Return the message that gives a ticket up."""
    return messages.Withdrawal(ticket_id=ticket.ticket_id, cell=ticket.cell)


def local_refusal(
    request: PendingTicket, reason: messages.RefusalReason
) -> messages.Refusal:
    """Return a refusal that the entry gives on its own account."""
    return messages.Refusal(
        ticket_id=request.ticket.ticket_id, reason=reason, retry_after=1.0
    )
