"""A plain service that crashes during a call."""

from __future__ import annotations

import pytest
from aiohttp import web

from tealcove import ids, stalls
from tealcove.backends import engine, reach
from tealcove.dispatch import messages
from tealcove.entry.tests import builders


def local(port: int) -> engine.Server:
    return engine.Server(ids.BackendServerId("s"), "127.0.0.1", port)


async def test_only_a_closed_port_refuses_connections() -> None:
    async with builders.listening([]) as port:
        assert not await reach.refuses_connections(local(port), stalls.Stalls())
    assert await reach.refuses_connections(local(port), stalls.Stalls())


@pytest.mark.parametrize(
    ("gone", "outcome"),
    [(True, messages.Outcome.CRASHED), (False, messages.Outcome.FAILED)],
)
async def test_a_call_whose_service_is_gone_is_reported_as_a_crash(
    monkeypatch: pytest.MonkeyPatch, gone: bool, outcome: messages.Outcome
) -> None:
    """A retried call would crash all servers of a plain service one by one.

    A call crashes the server that runs it, and its caller sends it again. A broken
    connection alone doesn't show a crash, so the call would never be suspected.
    """

    async def refuses(server: engine.Server, own_stalls: stalls.Stalls) -> bool:
        return gone

    monkeypatch.setattr(reach, "refuses_connections", refuses)

    async def handler(request: web.Request) -> web.Response:
        request.transport.abort()
        return web.Response()

    async with builders.running(handler) as found:
        async with found.call("POST", "/app/x", data=b"bad") as response:
            assert response.status == 502
        assert found.entry.tickets.ended == [outcome]
