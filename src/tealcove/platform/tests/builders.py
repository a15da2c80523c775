"""Test data for the platform's documents."""

from __future__ import annotations

# The fields that every backend server writes.
WRITTEN = {
    "service": "pool",
    "addr": "10.0.0.1:80",
    "zone": "dc",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
}
