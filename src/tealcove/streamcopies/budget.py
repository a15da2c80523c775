"""Limits the bytes of copies that one instance's dispatcher starts."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import backendview, messages

# Bytes of the KV cache for each token of a prompt or of generated text.
TOKEN_BYTES = 18_432
# Seconds of the rate that may be started at once.
BURST_SECONDS = 1.0


class CopyBudget:
    """A token bucket of bytes, for all cells that the dispatcher serves."""

    def __init__(self, bytes_per_second: float) -> None:
        self.rate = bytes_per_second
        self.level = self.burst
        self.refilled_at = ids.Instant(0.0)

    @property
    def burst(self) -> float:
        """The bytes of a full bucket."""
        return self.rate * BURST_SECONDS

    def allows(self, size: float, now: ids.Instant) -> bool:
        """Return whether a copy may start; one above the burst needs a full bucket."""
        elapsed = max(0.0, now - self.refilled_at)
        self.level = min(self.burst, self.level + elapsed * self.rate)
        self.refilled_at = now
        return self.level >= min(size, self.burst)

    def spend(self, size: float) -> None:
        """Charge a copy; one above the burst leaves a debt."""
        self.level -= size


def size_of(ticket: messages.Ticket) -> float:
    """Return the estimated bytes of the copy of a request's whole run."""
    tokens = ticket.prompt_tokens + backendview.expected_tokens(ticket)
    return float(TOKEN_BYTES * tokens)
