"""The limit of a client account."""

from __future__ import annotations

import msgspec

from tealcove.resources import kinds

# The burst of an account whose spec names none, in seconds of its rate.
DEFAULT_BURST_SECONDS = 10.0


class Limit(msgspec.Struct, frozen=True):
    """Tokens a second in the long run, and tokens at once after a pause."""

    rate: float
    burst: float


def of_spec(spec: kinds.ClientAccountSpec) -> Limit | None:
    """Return the limit of an account; None when it has none."""
    rate = spec.tokens_per_second
    if rate is None:
        return None
    return Limit(rate, spec.burst_tokens or rate * DEFAULT_BURST_SECONDS)
