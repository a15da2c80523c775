"""Which streams are copied to a second server, and to which one."""

from __future__ import annotations

import abc
from collections.abc import Sequence

from tealcove import ids, tokenbucket
from tealcove.dispatch import backendview, messages
from tealcove.streamcopies import choice

# Bytes of the KV cache for each token of a prompt or of generated text.
TOKEN_BYTES = 18_432


class Copies(abc.ABC):
    """Decides on the copy of each stream that a dispatcher grants."""

    @abc.abstractmethod
    def choose(
        self,
        ticket: messages.Ticket,
        granted: backendview.BackendView,
        servers: Sequence[backendview.BackendView],
        now: ids.Instant,
    ) -> ids.BackendServerId | None:
        """Return the server that a granted stream is copied to; None: to none."""


class NoCopies(Copies):
    """Copies nothing."""

    def choose(
        self,
        ticket: messages.Ticket,
        granted: backendview.BackendView,
        servers: Sequence[backendview.BackendView],
        now: ids.Instant,
    ) -> ids.BackendServerId | None:
        """See Copies."""
        return None


class BudgetedCopies(Copies):
    """Copies each stream for which a server has room, within a budget of bytes.

    The budget is that of all cells which an instance dispatches.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self.budget = tokenbucket.TokenBucket(bytes_per_second)

    def choose(
        self,
        ticket: messages.Ticket,
        granted: backendview.BackendView,
        servers: Sequence[backendview.BackendView],
        now: ids.Instant,
    ) -> ids.BackendServerId | None:
        """See Copies."""
        size = size_of(ticket)
        if not self.budget.allows(size, now):
            return None
        found = choice.choose(granted, servers, now)
        if found is None:
            return None
        self.budget.spend(size)
        return found.name


def size_of(ticket: messages.Ticket) -> float:
    """Return the estimated bytes of the copy of a request's whole run."""
    tokens = ticket.prompt_tokens + backendview.expected_tokens(ticket)
    return float(TOKEN_BYTES * tokens)


def describe(ticket: messages.Ticket, run: backendview.Run) -> str:
    """Return where the copy of a granted run is, for its log line."""
    if ticket.copy_at is not None:
        return ", goes on from its copy there"
    if run.copy_at is not None:
        return f", copied to {run.copy_at}"
    return ", no copy" if ticket.wants_copy else ""
