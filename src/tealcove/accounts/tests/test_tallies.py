"""Tests of the counts of requests by account."""

from __future__ import annotations

from tealcove import ids
from tealcove.accounts import labels, tallies

NOW = ids.Instant(0.0)


def ended(account: str = "bakery", **changes: object) -> tallies.Ended:
    found = {
        "account": ids.AccountId(account),
        "route": "tables",
        "urgency": 1,
        "result": tallies.Result.IN_TIME,
    }
    return tallies.Ended(**{**found, **changes})


def new_counts() -> tallies.Tallies:
    return tallies.Tallies(ids.DataCentreId("dc-1"))


def test_requests_are_counted_by_account_kind_reason_and_data_centre():
    counts = new_counts()
    counts.add(ended(waited=0.2), NOW)
    counts.add(ended(waited=0.4, result=tallies.Result.LATE), NOW)
    refused = {"result": tallies.Result.REFUSED, "reason": "overload"}
    counts.add(ended(**refused), NOW)
    counts.add(ended(**refused), NOW)
    counts.add(ended("", route="public"), NOW)
    found = {tuple(one.labels.values()): one.value for one in counts.count_samples()}
    assert found == {
        ("bakery", "tables", "1", "dc-1", "in_time", ""): 1.0,
        ("bakery", "tables", "1", "dc-1", "late", ""): 1.0,
        ("bakery", "tables", "1", "dc-1", "refused", "overload"): 2.0,
        (labels.NO_ACCOUNT, "public", "1", "dc-1", "in_time", ""): 1.0,
    }
    waits = {one.labels["account"]: one.value for one in counts.wait_samples()}
    assert sum(waits["bakery"].counts) == 2
    assert sum(waits[labels.NO_ACCOUNT].counts) == 0


def test_totals_sum_up_all_kinds():
    counts = new_counts()
    counts.add(ended(waited=0.1), NOW)
    counts.add(ended(waited=0.3, route="other-tables"), NOW)
    counts.add(ended(result=tallies.Result.REFUSED, reason="overload"), NOW)
    assert counts.totals(ids.AccountId("bakery")) == tallies.Totals(
        in_time=2, refused={"overload": 1}, granted=2, mean_wait=0.2
    )
    assert counts.totals(ids.AccountId("unknown")) is None


def test_an_account_that_loses_its_series_leaves_no_trace_in_them():
    """Guards against a jump of `other` by all that an account ever requested."""
    counts = new_counts()
    for number in range(labels.MAX_NAMED):
        for _ in range(number + 1):
            counts.add(ended(f"a-{number}"), NOW)
    named = set(counts.labels.named)
    later = ids.Instant(20 * labels.HALF_LIFE)
    for number in range(labels.TOP_ACCOUNTS):
        counts.add(ended(f"b-{number}"), later)
    lost = named - counts.labels.named
    assert lost
    shown = {one.labels["account"] for one in counts.count_samples()}
    assert not shown & lost
    assert len(shown) <= labels.MAX_NAMED + 1


def test_series_are_bounded_with_any_number_of_accounts_and_routes():
    counts = new_counts()
    for number in range(20_000):
        counts.add(ended(f"a-{number % 997}", route=f"r-{number % 101}"), NOW)
    most = (labels.MAX_NAMED + 1) * (tallies.MAX_ROUTES + 1)
    assert len(counts.tallies) <= most
    assert sum(one.value for one in counts.count_samples()) == 20_000
