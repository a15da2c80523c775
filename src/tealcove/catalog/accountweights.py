"""Weights of client accounts by the rates of their limits."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from tealcove import ids
from tealcove.catalog import declared


def by_limits(accounts: Iterable[declared.Account]) -> dict[ids.AccountId, float]:
    """Return the weights of the accounts that have limits.

    A weight is the rate in relation to the mean rate of the limits in the same unit. So
    1 is the weight of a usual account, whether its limit counts tokens or requests, and
    an operator's order of 2 doubles it.
    """
    limited = [one for one in accounts if one.limit is not None and one.limit.rate > 0]
    found = {}
    for counts_tokens in (False, True):
        same = [one for one in limited if one.counts_tokens is counts_tokens]
        mean = statistics.fmean(one.limit.rate for one in same) if same else 1.0
        found.update({one.name: one.limit.rate / mean for one in same})
    return found
