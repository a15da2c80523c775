"""Orders written down: lost replies, successors, and the time to wait."""

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


async def test_successor_waits_out_what_stands_open(platform):
    """Symptom: an engine carries an old order out after a newer one.

    Events: a steward dies while its order is on its way; its successor orders.
    Cause: not waiting for what stands open in the row.
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
    """A woken steward writes down an order that its successor doesn't know of.

    Symptom: an engine is changed by two stewards at once.
    Sequence: a steward is paused before it writes an order down; a successor
    takes the pool over while nothing stands open; the first one goes on.
    Cause: a row for each order, which the successor has never written.
    """
    first = await opened(platform, 1)
    await opened(platform, 2)
    with pytest.raises(intents.ReplacedError):
        await first.begin(A, order(1))
    with pytest.raises(intents.ReplacedError):
        await opened(platform, 1)


async def test_lost_reply_is_found_out_by_reading(platform):
    first = await opened(platform, 1)
    platform.faults = faults.Faults(lose_replies=1)
    await first.begin(A, order(1))
    assert (await opened(platform, 2)).inherited() == {A}


async def test_nothing_is_taken_over_while_the_platform_is_down(platform):
    """Symptom: an order is given that no successor can know of.

    Events: the platform goes down before an order is written down, or a takeover.
    Cause: going on without the row.
    """
    first = await opened(platform, 1)
    platform.faults = faults.Faults(down=True)
    with pytest.raises(errors.PlatformUnavailableError):
        await first.begin(A, order(1))
    second = intents.Intents(platform.table, POOL)
    with pytest.raises(errors.PlatformUnavailableError):
        await second.take_over(ids.FencingNumber(2), ids.Instant(0.0), LONGEST)
    assert second.number == 0
