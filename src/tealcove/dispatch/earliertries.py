"""Requests that were tried before and come again with a new id."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import messages

# Seconds by which the end of a caller's time may differ between two of its tries: the
# ways to and from it, and its rounding to milliseconds. Two callers that send the same
# content within that are taken for one, and the later one for late.
SAME_END = 0.1
# Tries that are remembered at the most: 600 requests a second whose callers wait 15 s.
MOST_REMEMBERED = 9000

# What stays the same when a caller sends its request again: the digest, and the tokens
# of prompt and output.
Content = tuple[str, int, int]


class Try(msgspec.Struct):
    """A request's first try."""

    # When its caller gives up.
    ends_at: ids.Instant
    # When its caller hopes for the first event.
    goal_at: ids.Instant


class EarlierTries:
    """The first tries of requests, for as long as their callers wait.

    To a caller that comes again, the goal counts from its first try. Its new id makes
    it look fresh: served as such, its answer is late all the same, and has taken a slot
    from a request that could have been in time for its caller.

    A request is known again by its content and by the end of its caller's time, since
    others may send the same content. A new dispatcher knows none.
    """

    def __init__(self) -> None:
        self.tries: dict[Content, list[Try]] = {}
        self.count = 0

    def first(
        self, ticket: messages.Ticket, goal_at: ids.Instant, now: ids.Instant
    ) -> Try | None:
        """Return the first try of a ticket's request; None: it's this one.

        `goal_at` is when the caller hopes for the first event, if it's this one.
        """
        if ticket.caller_remaining <= 0.0 or not ticket.digest:
            return None
        content = (ticket.digest, ticket.prompt_tokens, ticket.output_tokens)
        ends_at = ids.Instant(now - ticket.waited + ticket.caller_remaining)
        for known in self.tries.get(content, ()):
            if abs(known.ends_at - ends_at) < SAME_END:
                return known
        if self.count < MOST_REMEMBERED:
            self.tries.setdefault(content, []).append(Try(ends_at, goal_at))
            self.count += 1
        return None

    def forget(self, now: ids.Instant) -> None:
        """Forget the tries of callers that wait no longer."""
        for content, tries in list(self.tries.items()):
            kept = [known for known in tries if known.ends_at > now]
            self.count -= len(tries) - len(kept)
            if kept:
                self.tries[content] = kept
            else:
                del self.tries[content]
