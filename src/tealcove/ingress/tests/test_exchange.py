"""Tests of exchanges."""

from __future__ import annotations

import unittest.mock

import aiohttp
import pytest
from aiohttp import web

from tealcove import clock, ids
from tealcove.entry import problem
from tealcove.ingress import exchange
from tealcove.ingress.tests import builders


@pytest.fixture
def running() -> exchange.Exchange:
    """Return an exchange whose response has started."""
    accepted = builders.accepted(deadline=ids.Instant(clock.now() + 100.0))
    http = unittest.mock.Mock()
    found = exchange.Exchange(None, accepted, ids.CellId("engines/0"), http)
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
