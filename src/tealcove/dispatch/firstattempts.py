"""Recognition of retried requests, which arrive under a new id."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import messages

# Two attempts whose callers' deadlines differ by less belong to one request: the
# deadline varies with network delays and is rounded to milliseconds. Two callers that
# send the same content within that time are taken for one, and the later one for late.
DEADLINE_TOLERANCE = 0.1
# The same for a return at its promised time. Either attempt may have lain unread at a
# busy instance for some tenths, by which its deadline seems later.
RETURN_TOLERANCE = 0.5
# A return counts as kept from EARLY_SECONDS before to KEPT_SECONDS after its promised
# time. Callers' clocks and their rounding vary by some hundredths; a caller that rounds
# the time up to whole seconds is at most one late.
EARLY_SECONDS = 0.05
KEPT_SECONDS = 1.0
# Upper bound on remembered attempts: 600 requests a second whose callers wait 15 s.
MAX_REMEMBERED = 9000

# What is the same in each retry of a request: the digest, and the prompt and output
# tokens.
Content = tuple[str, int, int]


class Attempt(msgspec.Struct):
    """The first attempt of a request."""

    # When its caller gives up.
    ends_at: ids.Instant
    # When its caller wants the first event.
    goal_at: ids.Instant
    # When its refused caller was told to return; None if nothing is promised.
    promised_at: ids.Instant | None = None

    def is_due(self, now: ids.Instant) -> bool:
        """Tell whether its caller keeps the promised time by returning now."""
        if self.promised_at is None:
            return False
        return -EARLY_SECONDS <= now - self.promised_at <= KEPT_SECONDS


class FirstAttempts:
    """The first attempts of requests, kept until their callers give up.

    For a caller that retries, the goal counts from its first attempt. Its new id makes
    the request look new: served as such, its answer would be late all the same, and
    would take a slot from a request that could still meet its goal.

    A retry is recognised by its content and its caller's deadline, since others may
    send the same content; the deadline of a return at its promised time may differ by
    more. A new dispatcher starts with none.
    """

    def __init__(self) -> None:
        self.attempts: dict[Content, list[Attempt]] = {}
        self.count = 0

    def find_or_add(
        self, ticket: messages.Ticket, goal_at: ids.Instant, now: ids.Instant
    ) -> Attempt | None:
        """Return the first attempt of a ticket's request; None if it's this ticket.

        `goal_at` is the goal of this ticket, recorded if it's the first attempt.
        """
        if not is_recognisable(ticket):
            return None
        earlier = self.find(ticket, now)
        if earlier is None:
            self.add(content_of(ticket), Attempt(ends_at(ticket, now), goal_at))
        return earlier

    def find(self, ticket: messages.Ticket, now: ids.Instant) -> Attempt | None:
        """Return the remembered attempt of a ticket's request, be it this ticket."""
        if not is_recognisable(ticket):
            return None
        content, end = content_of(ticket), ends_at(ticket, now)
        arrived = ids.Instant(now - ticket.waited)
        return self.find_ending(content, end) or self.find_due(content, end, arrived)

    def find_due(
        self, content: Content, end: ids.Instant, now: ids.Instant
    ) -> Attempt | None:
        """Return the attempt of some content whose promised return is due now."""
        due = [one for one in self.attempts.get(content, ()) if one.is_due(now)]
        nearest = min(due, key=lambda one: abs(one.ends_at - end), default=None)
        if nearest is None or abs(nearest.ends_at - end) >= RETURN_TOLERANCE:
            return None
        return nearest

    def find_ending(self, content: Content, end: ids.Instant) -> Attempt | None:
        """Return the attempt of some content whose caller gives up at an instant."""
        for attempt in self.attempts.get(content, ()):
            if abs(attempt.ends_at - end) < DEADLINE_TOLERANCE:
                return attempt
        return None

    def add(self, content: Content, attempt: Attempt) -> None:
        """Remember an attempt, unless there are too many."""
        if self.count < MAX_REMEMBERED:
            self.attempts.setdefault(content, []).append(attempt)
            self.count += 1

    def restore(
        self, promised: messages.PromisedReturn, now: ids.Instant
    ) -> Attempt | None:
        """Remember an attempt with its promised return; None if that is known."""
        content = (promised.digest, promised.prompt_tokens, promised.output_tokens)
        end = ids.Instant(now + promised.ends_in)
        attempt = self.find_ending(content, end)
        if attempt is None:
            attempt = Attempt(end, ids.Instant(now + promised.goal_in))
            self.add(content, attempt)
        if attempt.promised_at is not None:
            return None
        attempt.promised_at = ids.Instant(now + promised.due_in)
        return attempt

    def expire(self, now: ids.Instant) -> None:
        """Remove the attempts whose callers have given up."""
        for content, attempts in list(self.attempts.items()):
            kept = [attempt for attempt in attempts if attempt.ends_at > now]
            self.count -= len(attempts) - len(kept)
            if kept:
                self.attempts[content] = kept
            else:
                del self.attempts[content]


def is_recognisable(ticket: messages.Ticket) -> bool:
    """Tell whether a retry of a ticket's request could be recognised."""
    return ticket.caller_remaining > 0.0 and bool(ticket.digest)


def content_of(ticket: messages.Ticket) -> Content:
    """Return what is the same in each retry of a ticket's request."""
    return (ticket.digest, ticket.prompt_tokens, ticket.output_tokens)


def ends_at(ticket: messages.Ticket, now: ids.Instant) -> ids.Instant:
    """Return when the caller of a ticket that arrives now gives up."""
    return ids.Instant(now - ticket.waited + ticket.caller_remaining)
