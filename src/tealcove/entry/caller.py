"""Authentication of callers: a bearer key identifies a client account."""

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
    # The account's share of the slots beside that of others; None: 1.
    weight: float | None = None


def authenticate(header: str | None, configuration: copy.Configuration) -> Caller:
    """Return the caller of an Authorization header; raises ProblemError.

    The timing of the lookup reveals nothing about a key: a guess that is partly
    right has an unrelated hash.
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
    weight = account.spec.weight
    tier = configuration.tiers[account.spec.tier]
    return Caller(
        account=ids.AccountId(account.metadata.name),
        tier=ids.TierId(tier.metadata.name),
        tier_rank=tier.spec.rank,
        default_deadline=tier.spec.default_deadline,
        weight=None if weight is msgspec.UNSET else weight,
    )
