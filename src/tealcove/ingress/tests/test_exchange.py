"""Tests of exchanges."""

from __future__ import annotations

import aiohttp
import pytest
from aiohttp import web

from tealcove import clock, ids
from tealcove.entry import problem
from tealcove.ingress import budget, exchange
from tealcove.ingress.tests import builders


@pytest.fixture
def running() -> exchange.Exchange:
    """Return an exchange whose response has started."""
    accepted = builders.accepted(deadline=ids.Instant(clock.now() + 100.0))
    services = exchange.Services(None, None, None, None, None, None, None)
    found = builders.running(services, accepted)
    found.stream.response = web.StreamResponse()
    return found


async def test_disconnect_during_write_is_no_error(
    running: exchange.Exchange, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against logging such callers as errors and counting them as served."""

    async def serve() -> web.StreamResponse:
        raise aiohttp.ClientConnectionResetError("Cannot write to closing transport")

    monkeypatch.setattr(running, "serve", serve)
    assert await running.run() is running.stream.response
    assert running.outcome == problem.CALLER_GONE
    running.http.transport.abort.assert_called_once()


async def test_a_retry_that_waits_in_vain_leaves_the_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Reservations of requests that ended without a slot blocked later retries."""
    allowed = budget.Allowance(ratio=0.0, slack=1.25, window=10.0)
    shared = builders.retry_budget(allowed, lambda now: 1, 0.0)
    services = exchange.Services(None, None, shared, None, None, None, None)
    accepted = builders.accepted(deadline=ids.Instant(clock.now() + 100.0))
    found = builders.running(services, accepted)

    async def serve() -> web.StreamResponse:
        found.sent = found.runs = 1
        assert found.retries.reserve(ids.Instant(100.0))
        raise found.lost_response("backend_server")

    monkeypatch.setattr(found, "serve", serve)
    with pytest.raises(problem.ProblemError):
        await found.run()
    assert shared.can_retry(builders.SERVICE, ids.Instant(100.0))
