"""Orders over HTTP: what each way of failing says about their fate."""

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


async def test_order_that_may_not_be_sent_is_not_carried_out(client, target):
    """A holder that is paused while it connects orders under a lapsed lease.

    Symptom: an engine that ignores numbers goes back to an older version.
    Sequence: the lease is looked at, the process is paused, it connects, writes.
    Cause: nothing looks at the lease between the connection and the write.
    """
    with pytest.raises(engine.NotDispatchedError):
        await client.order(address(target), load(1), lambda: False, LONGEST)
    assert target.counts.orders == []


async def test_lost_answer_leaves_fate_open_and_refused_port_does_not(client, target):
    server = address(target)
    await target.apply_faults(standin.EngineFaults(freeze_seconds=60.0))
    with pytest.raises(errors.BackendError) as caught:
        await client.order(server, load(1), lambda: True, 0.2)
    assert type(caught.value) is errors.BackendError
    await target.apply_faults(standin.EngineFaults())
    await target.stop()
    with pytest.raises(engine.NotDispatchedError):
        await client.order(server, load(1), lambda: True, LONGEST)


async def test_cache_moves_to_another_engine(client, target):
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
