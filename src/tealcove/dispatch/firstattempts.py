"""Recognition of retried requests, which arrive under a new id."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import messages

# Two attempts whose callers' deadlines differ by less belong to one request: the
# deadline varies with network delays and is rounded to milliseconds. Two callers that
# send the same content within that time are taken for one, and the later one for late.
DEADLINE_TOLERANCE = 0.1
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


class FirstAttempts:
    """The first attempts of requests, kept until their callers give up.

    For a caller that retries, the goal counts from its first attempt. Its new id makes
    the request look new: served as such, its answer would be late all the same, and
    would take a slot from a request that could still meet its goal.

    A retry is recognised by its content and its caller's deadline, since others may
    send the same content. A new dispatcher starts with none.
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
        if ticket.caller_remaining <= 0.0 or not ticket.digest:
            return None
        content = (ticket.digest, ticket.prompt_tokens, ticket.output_tokens)
        ends_at = ids.Instant(now - ticket.waited + ticket.caller_remaining)
        for attempt in self.attempts.get(content, ()):
            if abs(attempt.ends_at - ends_at) < DEADLINE_TOLERANCE:
                return attempt
        if self.count < MAX_REMEMBERED:
            self.attempts.setdefault(content, []).append(Attempt(ends_at, goal_at))
            self.count += 1
        return None

    def expire(self, now: ids.Instant) -> None:
        """Remove the attempts whose callers have given up."""
        for content, attempts in list(self.attempts.items()):
            kept = [attempt for attempt in attempts if attempt.ends_at > now]
            self.count -= len(attempts) - len(kept)
            if kept:
                self.attempts[content] = kept
            else:
                del self.attempts[content]
