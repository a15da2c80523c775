"""Tests of the weights that limits imply."""

from __future__ import annotations

from tealcove import ids
from tealcove.catalog import accountweights, declared
from tealcove.limits import limit


def account(name: str, rate: float | None, counts_tokens: bool) -> declared.Account:
    bound = None if rate is None else limit.Limit(rate, rate)
    return declared.Account(ids.AccountId(name), None, bound, counts_tokens)


def test_weights_compare_whatever_the_units_of_the_limits():
    """Guards against an order of 2 that starves an account beside token limits.

    With the rate itself as the weight, accounts with limits of 60,000 tokens a second
    weighed 60,000 times as much as one without a limit.
    """
    found = accountweights.by_limits(
        (
            account("large", 90_000.0, True),
            account("small", 30_000.0, True),
            account("calls", 5.0, False),
            account("free", None, True),
        )
    )
    assert found == {"large": 1.5, "small": 0.5, "calls": 1.0}
