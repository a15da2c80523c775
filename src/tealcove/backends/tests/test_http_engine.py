"""Tests of the HTTP client for model engines."""

from __future__ import annotations

import asyncio
import socket

import pytest

from tealcove import errors, ids
from tealcove.backends import engine, http_engine
from tealcove.standins import engine as engine_standin

CALL = engine.Completion(
    request_id=ids.new_request_id(),
    model="m",
    adapter=None,
    prompt="p",
    max_tokens=3,
)


@pytest.fixture
async def client() -> http_engine.HttpEngineClient:
    found = http_engine.HttpEngineClient()
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def running() -> engine_standin.EngineStandin:
    settings = engine_standin.EngineSettings(models={"m": "1"})
    found = engine_standin.EngineStandin(settings)
    await found.start()
    yield found
    await found.stop()


def server(port: int) -> engine.Server:
    """Return an engine on this machine."""
    return engine.Server(ids.BackendServerId("e"), "127.0.0.1", port)


async def test_connect_timeout_is_no_dispatch(
    client: http_engine.HttpEngineClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against treating a request as dispatched that was never sent.

    The engine's address neither accepts nor refuses connections. aiohttp's error for a
    connect timeout isn't its connector error, so that the request could end as
    `interrupted` or miss its deadline although nothing was sent.
    """
    monkeypatch.setattr(http_engine, "CONNECT_TIMEOUT", 0.05)
    await client.stop()
    await client.start()
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        port = full.getsockname()[1]
        fillers = [asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
        filling = asyncio.gather(*fillers, return_exceptions=True)
        await asyncio.sleep(0)
        dispatched: list[bool] = []
        with pytest.raises(engine.NotDispatchedError):
            await consume(client, port, dispatched)
        assert dispatched == []
        filling.cancel()
        await asyncio.gather(filling, return_exceptions=True)


async def consume(
    client: http_engine.HttpEngineClient, port: int, dispatched: list[bool]
) -> list[engine.Chunk]:
    """Generate a response, and record whether `dispatched` was called."""
    stream = client.generate(server(port), CALL, lambda: dispatched.append(True))
    return [chunk async for chunk in stream]


async def test_polls_reuse_a_connection_and_requests_do_not(
    client: http_engine.HttpEngineClient, running: engine_standin.EngineStandin
) -> None:
    for _ in range(5):
        await client.load(server(running.port))
    assert len(running.runner.server.connections) == 1
    dispatched: list[bool] = []
    chunks = await consume(client, running.port, dispatched)
    assert dispatched == [True]
    assert chunks[-1].finish == "stop"
    kept = client.session.connector._conns
    assert not any(kept.values())


async def test_poll_fails_for_dead_engine_and_works_after_its_restart(
    client: http_engine.HttpEngineClient, running: engine_standin.EngineStandin
) -> None:
    await client.load(server(running.port))
    await running.kill()
    with pytest.raises(errors.BackendError):
        await client.load(server(running.port))
    await running.start()
    assert (await client.load(server(running.port))).slots == running.settings.slots
