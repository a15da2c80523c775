"""Who calls: a client account, known by its bearer key."""

from __future__ import annotations

import msgspec

from tealcove import bearer, ids
from tealcove.entry import problem
from tealcove.resources import copy


class Caller(msgspec.Struct, frozen=True):
    """A client account and the service tier of its requests."""

    account: ids.AccountId
    tier: ids.TierId
    tier_rank: int
    default_deadline: float


def identify(header: str | None, configuration: copy.Configuration) -> Caller:
    """Return the caller of an Authorization header; raises ProblemError.

    Looking up the hash takes the same time whichever part of a wrong key is
    right, since the hash of a guess says nothing about the guess.
    """
    if header is None or not header.startswith(bearer.PREFIX):
        raise problem.rejected(
            401, "No key", 'Send the header "Authorization: Bearer <key>".'
        )
    key_hash = bearer.hash_key(header.removeprefix(bearer.PREFIX))
    account = configuration.account_by_key_hash(key_hash)
    if account is None:
        raise problem.rejected(
            401, "The key isn't known", "Ask the operator for a key of your account."
        )
    tier = configuration.tiers[account.spec.tier]
    return Caller(
        account=ids.AccountId(account.metadata.name),
        tier=ids.TierId(tier.metadata.name),
        tier_rank=tier.spec.rank,
        default_deadline=tier.spec.default_deadline,
    )
