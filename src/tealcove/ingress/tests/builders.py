"""Test data for the ingress."""

from __future__ import annotations

import unittest.mock
from collections.abc import Callable

from tealcove import ids
from tealcove.catalog import declared
from tealcove.entry import progress
from tealcove.ingress import budget, call, exchange, tickets
from tealcove.limits import admission, limit

SERVICE = ids.PoolId("engines")
HOST = "callers.example"
KEY = "a-key"
ACCOUNT = ids.AccountId("bakery")


def route(**changes: object) -> declared.Route:
    found = {
        "name": "tables",
        "host": HOST,
        "prefix": "/tables/",
        "shares": (declared.Share(SERVICE, 1.0),),
        "repeat": declared.Repeat.SAFE,
        "is_stream": False,
        "timeout": 4.0,
        "goal": 0.5,
        "rank": 0,
        "attempts": 2,
    }
    return declared.Route(**{**found, **changes})


def account(**changes: object) -> declared.Account:
    found = {"name": ACCOUNT, "rank": 1, "limit": None}
    return declared.Account(**{**found, **changes})


def limited(rate: float = 1000.0, burst: float = 2000.0) -> declared.Account:
    return account(limit=limit.Limit(rate, burst))


def catalog(*routes: declared.Route, **changes: object) -> declared.Catalog:
    found = {
        "routes": routes or (route(),),
        "services": (declared.Service(SERVICE, 4),),
        "accounts": (account(),),
        "keys": {KEY: ACCOUNT},
    }
    return declared.Catalog(**{**found, **changes})


def received(**changes: object) -> call.Call:
    found = {
        "request_id": ids.RequestId("r-1"),
        "method": "POST",
        "target": "/tables/7?full=1",
        "host": HOST,
        "path": "/tables/7",
        "headers": (),
        "body": b"recipe",
        "key": KEY,
        "caller_timeout": 4.0,
        "work": call.Work(1000, 100, 50),
    }
    return call.Call(**{**found, **changes})


def accepted(**changes: object) -> tickets.AcceptedRequest:
    found = {
        "call": received(),
        "route": route(),
        "service": SERVICE,
        "event_tokens": 4,
        "account": account(),
        "arrived": ids.Instant(100.0),
        "deadline": ids.Instant(104.0),
        "has_tiers": True,
        "digest": "d",
    }
    return tickets.AcceptedRequest(**{**found, **changes})


def running(
    services: exchange.Services, found: tickets.AcceptedRequest
) -> exchange.Exchange:
    """Return the exchange of a request, not yet run."""
    return exchange.Exchange(
        services,
        found,
        ids.CellId("engines/0"),
        unittest.mock.Mock(),
        progress.Progress(),
        admission.Charge(None, 0.0),
    )


def retry_budget(
    allowed: budget.Allowance,
    instances: Callable[[ids.Instant], int],
    started: float,
) -> budget.RetryBudget:
    """Return the budget of a process that starts at `started`."""
    return budget.RetryBudget(allowed, instances, ids.Instant(started))


def retry(found: budget.RetryBudget, now: float, service: ids.PoolId = SERVICE) -> bool:
    """Send a request once more, if the budget allows it."""
    is_allowed = found.reserve_retry(service, ids.Instant(now))
    if is_allowed:
        found.record_retry(service, ids.Instant(now))
    return is_allowed
