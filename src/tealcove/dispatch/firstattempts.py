"""Requests that were tried before and come again with a new id."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import messages

# Two attempts whose callers' deadlines differ by less belong to one request: the
# deadline varies with network delays and is rounded to milliseconds. Two callers that
# send the same content within that time are taken for one, and the later one for late.
DEADLINE_TOLERANCE = 0.1
# Tries that are remembered at the most: 600 requests a second whose callers wait 15 s.
MAX_REMEMBERED = 9000

# What stays the same when a caller sends its request again: the digest, and the tokens
# of prompt and output.
Content = tuple[str, int, int]


class Attempt(msgspec.Struct):
    """A request's first try."""

    # When its caller gives up.
    ends_at: ids.Instant
    # When its caller hopes for the first event.
    goal_at: ids.Instant


class FirstAttempts:
    """The first tries of requests, for as long as their callers wait.

    To a caller that comes again, the goal counts from its first try. Its new id makes
    it look fresh: served as such, its answer is late all the same, and has taken a slot
    from a request that could have been in time for its caller.

    A request is known again by its content and by the end of its caller's time, since
    others may send the same content. A new dispatcher knows none.
    """

    def __init__(self) -> None:
        self.attempts: dict[Content, list[Attempt]] = {}
        self.count = 0

    def find_or_add(
        self, ticket: messages.Ticket, goal_at: ids.Instant, now: ids.Instant
    ) -> Attempt | None:
        """Return the first try of a ticket's request; None: it's this one.

        `goal_at` is when the caller hopes for the first event, if it's this one.
        """
        if ticket.caller_remaining <= 0.0 or not ticket.digest:
            return None
        content = (ticket.digest, ticket.prompt_tokens, ticket.output_tokens)
        ends_at = ids.Instant(now - ticket.waited + ticket.caller_remaining)
        for known in self.attempts.get(content, ()):
            if abs(known.ends_at - ends_at) < DEADLINE_TOLERANCE:
                return known
        if self.count < MAX_REMEMBERED:
            self.attempts.setdefault(content, []).append(Attempt(ends_at, goal_at))
            self.count += 1
        return None

    def forget(self, now: ids.Instant) -> None:
        """Forget the tries of callers that wait no longer."""
        for content, attempts in list(self.attempts.items()):
            kept = [known for known in attempts if known.ends_at > now]
            self.count -= len(attempts) - len(kept)
            if kept:
                self.attempts[content] = kept
            else:
                del self.attempts[content]
