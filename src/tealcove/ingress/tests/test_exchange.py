"""One request from its acceptance to its end."""

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
    """Return an exchange whose answer has begun."""
    accepted = builders.accepted(deadline=ids.Instant(clock.now() + 100.0))
    http = unittest.mock.Mock()
    found = exchange.Exchange(None, accepted, ids.CellId("engines/0"), http)
    found.stream.response = web.StreamResponse()
    return found


async def test_a_caller_that_leaves_during_a_write_is_no_error(
    running: exchange.Exchange, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each such caller is logged as an error, and counted as served."""

    async def serve() -> web.StreamResponse:
        raise aiohttp.ClientConnectionResetError("Cannot write to closing transport")

    monkeypatch.setattr(running, "serve", serve)
    assert await running.run() is running.stream.response
    assert running.outcome == problem.CALLER_GONE
    running.http.transport.abort.assert_called_once()
