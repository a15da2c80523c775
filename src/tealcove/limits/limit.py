"""The limit of a client account."""

from __future__ import annotations

import msgspec

from tealcove.resources import kinds

# The default burst, in seconds of the account's rate.
DEFAULT_BURST_SECONDS = 10.0


class Limit(msgspec.Struct, frozen=True):
    """A sustained rate in tokens a second, and a burst in tokens."""

    rate: float
    burst: float


def of_spec(spec: kinds.ClientAccountSpec) -> Limit | None:
    """Return the limit of an account, or None when it has none."""
    rate = spec.tokens_per_second
    if rate is None:
        return None
    return Limit(rate, spec.burst_tokens or rate * DEFAULT_BURST_SECONDS)
