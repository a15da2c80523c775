"""Recorded orders: lost replies, successors, and the time to wait."""

from __future__ import annotations

import pytest

from tealcove import errors, ids
from tealcove.backends import engine
from tealcove.orders import intents
from tealcove.storage import faults, memory

POOL = ids.PoolId("engines")
LONGEST = 30.0
A = ids.BackendServerId("a")


@pytest.fixture
def platform():
    return memory.MemoryPlatform()


async def opened(platform: memory.MemoryPlatform, number: int) -> intents.Intents:
    found = intents.Intents(platform.table, POOL)
    await found.take_over(ids.FencingNumber(number), ids.Instant(100.0), LONGEST)
    return found


def order(number: int) -> engine.Order:
    kind = engine.OrderKind.LOAD_MODEL
    return engine.Order(ids.FencingNumber(number), kind, "m", "2")


async def test_successor_waits_for_open_orders_to_expire(platform):
    """A successor waits until its predecessor's open orders can't be carried out.

    Otherwise an order in flight when the steward dies could be carried out after a
    newer one of the successor.
    """
    first = await opened(platform, 1)
    await first.begin(A, order(1))
    second = await opened(platform, 2)
    assert second.inherited() == {A}
    await second.settle(ids.Instant(129.9))
    assert second.unsettled == {A: 130.0}
    await second.settle(ids.Instant(130.0))
    assert (second.unsettled, second.inherited()) == ({}, frozenset())
    assert (await opened(platform, 3)).unsettled == {}


async def test_predecessor_writes_nothing_after_its_successor(platform):
    """A replaced steward can't record an order, even if none was open.

    Guards against a row for each order, which the successor wouldn't have written: a
    steward paused before it records an order would resume after the takeover, and
    two stewards would change one engine at once.
    """
    first = await opened(platform, 1)
    await opened(platform, 2)
    with pytest.raises(intents.ReplacedError):
        await first.begin(A, order(1))
    with pytest.raises(intents.ReplacedError):
        await opened(platform, 1)


async def test_lost_reply_is_settled_by_reading(platform):
    first = await opened(platform, 1)
    platform.faults = faults.Faults(lose_replies=1)
    await first.begin(A, order(1))
    assert (await opened(platform, 2)).inherited() == {A}


async def test_nothing_is_taken_over_while_the_platform_is_down(platform):
    """Neither an order nor a takeover proceeds without writing the row.

    Otherwise a steward would send an order that no successor can know of.
    """
    first = await opened(platform, 1)
    platform.faults = faults.Faults(down=True)
    with pytest.raises(errors.PlatformUnavailableError):
        await first.begin(A, order(1))
    second = intents.Intents(platform.table, POOL)
    with pytest.raises(errors.PlatformUnavailableError):
        await second.take_over(ids.FencingNumber(2), ids.Instant(0.0), LONGEST)
    assert second.number == 0
