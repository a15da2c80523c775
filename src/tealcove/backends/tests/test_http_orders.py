"""Tests of what each failure of an order implies for its execution."""

from __future__ import annotations

import pytest
import pytest_asyncio

from tealcove import errors, ids
from tealcove.backends import engine, http_engine
from tealcove.standins import engine as standin

LONGEST = 30.0


def load(number: int, version: str = "2") -> engine.Order:
    kind = engine.OrderKind.LOAD_MODEL
    return engine.Order(ids.FencingNumber(number), kind, "m", version)


@pytest_asyncio.fixture
async def client():
    found = http_engine.HttpEngineClient()
    await found.start()
    yield found
    await found.stop()


@pytest_asyncio.fixture
async def target():
    found = standin.EngineStandin(standin.EngineSettings(models={"m": "1"}))
    await found.start()
    yield found
    await found.stop()


def address(target: standin.EngineStandin) -> engine.Server:
    return engine.Server(ids.BackendServerId("e"), "127.0.0.1", target.port)


async def test_engine_refuses_old_number(client, target):
    server = address(target)
    await client.order(server, load(2), lambda: True, LONGEST)
    with pytest.raises(engine.OldNumberError):
        await client.order(server, load(1, "1"), lambda: True, LONGEST)
    holding = await client.holding(server)
    assert (holding.models, holding.fencing) == ({"m": "2"}, 2)


async def test_order_that_may_not_be_sent_is_not_executed(client, target):
    """Guards against an order under an expired lease.

    A lease holder checks the lease, is paused, then connects and writes. Without a
    check between connecting and writing, an engine that ignores fencing numbers goes
    back to an older version.
    """
    with pytest.raises(engine.NotDispatchedError):
        await client.order(address(target), load(1), lambda: False, LONGEST)
    assert target.counts.orders == []


async def test_lost_response_is_ambiguous_and_refused_connection_is_not(client, target):
    server = address(target)
    await target.apply_faults(standin.EngineFaults(freeze_seconds=60.0))
    with pytest.raises(errors.BackendError) as caught:
        await client.order(server, load(1), lambda: True, 0.2)
    assert type(caught.value) is errors.BackendError
    await target.apply_faults(standin.EngineFaults())
    await target.stop()
    with pytest.raises(engine.NotDispatchedError):
        await client.order(server, load(1), lambda: True, LONGEST)


async def test_cache_is_transferred_to_another_engine(client, target):
    server = address(target)
    with pytest.raises(engine.RefusedCallError):
        await client.export_cache(server, ids.RequestId("unknown"))
    request_id = ids.RequestId("r")
    call = engine.Completion(request_id, "m", None, "word " * 200, 1)
    chunks = [c async for c in client.generate(server, call, lambda: None)]
    assert chunks[-1].usage.cached_tokens == 0
    content = await client.export_cache(server, request_id)
    await target.stop()
    await target.start()
    server = address(target)
    await client.import_cache(server, request_id, content)
    chunks = [c async for c in client.generate(server, call, lambda: None)]
    assert chunks[-1].usage.cached_tokens > 0
