"""The counts of an engine stand-in, which tests check."""

from __future__ import annotations

import msgspec


class OrderSeen(msgspec.Struct, frozen=True):
    """A received order, and whether it was accepted."""

    fencing: int
    order: str
    name: str
    version: str
    role: str
    accepted: bool
    # Requests running or waiting when it arrived.
    running: int = 0


class EngineCounts(msgspec.Struct):
    """Counts since the start, for tests only; the system itself never reads them."""

    # Dispatches by request id; above 1, the request was dispatched again.
    dispatches: dict[str, int] = {}
    # Answers whose last event was written, by request id.
    completed: dict[str, int] = {}
    # Prompt tokens computed, and those of requests that did not complete.
    prefill_tokens: int = 0
    prefill_wasted: int = 0
    decode_tokens: int = 0
    cancelled: int = 0
    # Seconds from the start of leaving to a request's arrival, by request id.
    sent_while_leaving: dict[str, float] = {}
    orders: list[OrderSeen] = []


def increment(counts: dict[str, int], request_id: str) -> None:
    """Increment the count of an id."""
    counts[request_id] = counts.get(request_id, 0) + 1
