"""What an engine stand-in counts, by which tests judge."""

from __future__ import annotations

import msgspec


class OrderSeen(msgspec.Struct, frozen=True):
    """An order as it arrived, and whether it was carried out."""

    fencing: int
    order: str
    name: str
    version: str
    role: str
    accepted: bool
    # Requests that ran when it came.
    running: int = 0


class EngineCounts(msgspec.Struct):
    """Counts since the start, which no part of the system reads."""

    # Times that a request was sent, by its id; above 1 is a second dispatch.
    dispatches: dict[str, int] = {}
    # Answers whose last event was written, by id.
    completed: dict[str, int] = {}
    # Prompt tokens computed, and those computed for requests not completed.
    prefill_tokens: int = 0
    prefill_wasted: int = 0
    decode_tokens: int = 0
    cancelled: int = 0
    # Seconds since the engine was leaving, by id of requests sent since then.
    sent_while_leaving: dict[str, float] = {}
    orders: list[OrderSeen] = []


def increment(counts: dict[str, int], request_id: str) -> None:
    """Count one more for an id."""
    counts[request_id] = counts.get(request_id, 0) + 1
