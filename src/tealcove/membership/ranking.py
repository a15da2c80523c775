"""Rendezvous hashing: the same order of instances on every instance."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping

from tealcove import ids

WEIGHT_BYTES = 8


def weight(key: str, instance: ids.InstanceId) -> int:
    """Return the weight of an instance for a key, equal on every instance."""
    text = f"{key}|{instance}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest())


def rank(key: str, instances: Iterable[ids.InstanceId]) -> list[ids.InstanceId]:
    """Return the instances by descending weight.

    When an instance leaves, only the keys that ranked it first move; all others keep
    their order (rendezvous hashing, Thaler and Ravishankar 1998).
    """
    return sorted(instances, key=lambda instance: weight(key, instance), reverse=True)


def rank_by_strength(
    key: str, strengths: Mapping[ids.InstanceId, int]
) -> list[ids.InstanceId]:
    """Return the instances by descending strength, and among equals as `rank` does.

    Work that is not spread over all instances, such as the queue of thirty backend
    servers, would overload one with half a core while others with two are idle.
    """
    ranked = rank(key, strengths)
    ranked.sort(key=lambda instance: strengths[instance], reverse=True)
    return ranked


def rank_by_weight(
    key: str, weights: Mapping[ids.InstanceId, float]
) -> list[ids.InstanceId]:
    """Return the instances such that each is first for its share of all keys.

    The shares are those of the weights, which must be above 0. When one weight changes,
    only keys that rank this instance differently change their order (weighted
    rendezvous hashing, Schindelhauer and Schomaker 2005).
    """
    return sorted(
        weights, key=lambda instance: -log_hash(key, instance) / weights[instance]
    )


def log_hash(key: str, instance: ids.InstanceId) -> float:
    """Return the logarithm of an instance's hash for a key, as a part of 1."""
    return math.log((weight(key, instance) + 0.5) / 2.0 ** (8 * WEIGHT_BYTES))
