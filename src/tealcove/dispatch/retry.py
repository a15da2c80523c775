"""Delays after which refused callers may retry."""

from __future__ import annotations

import zlib

from tealcove import ids

# Bounds of the delay in seconds. A shorter one would make callers retry before a slot
# can be free; more than a few seconds ahead, free slots can't be predicted.
MIN_SECONDS = 0.15
MAX_SECONDS = 5.0
# Delays are increased by up to this part, so that callers that were refused together
# don't retry together.
JITTER = 0.5
JITTER_STEPS = 1000


def wait_seconds(ticket_id: ids.TicketId, drained_in: float) -> float:
    """Return the seconds after which the caller of a refused ticket may retry.

    `drained_in` is the predicted number of seconds until it would have got a slot.
    """
    part = zlib.crc32(ticket_id.encode()) % JITTER_STEPS / JITTER_STEPS
    wait = max(MIN_SECONDS, drained_in) * (1.0 + JITTER * part)
    return min(MAX_SECONDS, wait)
