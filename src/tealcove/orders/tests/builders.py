"""Test data for the orders package."""

from __future__ import annotations

from tealcove.orders import lease
from tealcove.storage import memory

DURATION = 10.0
MARGIN = 1.0


def participant(
    platform: memory.MemoryPlatform, holder: str, margin: float = MARGIN
) -> lease.Lease:
    """Return one participant of the lease "pool" in the platform's table."""
    return lease.Lease(platform.table, "pool", holder, DURATION, margin)
