"""Counts of what admission decided on this instance, for the metrics."""

from __future__ import annotations

import msgspec


class Counts(msgspec.Struct):
    """Counts since the start, over all cells that this instance serves."""

    # Requests refused since they would have missed their goal.
    refused_at_once: int = 0
    # Refusals with a promised return time.
    promised: int = 0
    # Returned requests that came at their promised time.
    kept: int = 0
    # Requests refused on arrival by what a dispatcher had announced.
    refused_locally: int = 0
