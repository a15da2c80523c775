"""Division of a capacity among weighted demands by water-filling."""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec


class Claim(msgspec.Struct, frozen=True):
    """What one account wants of a capacity, in slots, and its weight."""

    demand: float
    weight: float


def level(claims: Iterable[Claim], capacity: float) -> float:
    """Return the largest level at which all min(demand, level x weight) fit.

    It is infinite if all demands fit: then there is nothing to divide.
    """
    ordered = sorted(claims, key=lambda claim: claim.demand / claim.weight)
    if not ordered or sum(claim.demand for claim in ordered) <= capacity:
        return math.inf
    left = max(0.0, capacity)
    weight = sum(claim.weight for claim in ordered)
    for claim in ordered:
        # The claims so far are below the level, and get all that they demand. The last
        # one never is, whatever the rounding.
        if claim is ordered[-1] or claim.demand * weight >= left * claim.weight:
            break
        left -= claim.demand
        weight -= claim.weight
    return left / weight
