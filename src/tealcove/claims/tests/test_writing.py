"""The rate of writes, and claims that meet in one batch."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import clock, ids
from tealcove.claims import claimer
from tealcove.claims.tests import builders

SECONDS = 2.0


async def claim(instance: builders.Instance, key: str) -> bool:
    """Take a claim; whether it's ours."""
    deadline = ids.Instant(clock.now() + builders.DEADLINE)
    try:
        await instance.claimer.claim(key, builders.claim_of(instance), deadline)
    except claimer.TakenError:
        return False
    return True


async def flood(load: int, loop: builders.VirtualLoop) -> tuple[int, int]:
    """Claim at a rate for some seconds; return claims taken and writes."""
    platform = builders.platform_in(loop)
    bus = builders.Bus()
    instances = [builders.Instance(bus, n, platform.table) for n in range(1, 5)]
    await builders.pass_time(bus, 1.0)
    beating = asyncio.create_task(builders.pass_time(bus, 10 * SECONDS))
    taking = []
    for number in range(int(load * SECONDS)):
        taking.append(asyncio.create_task(claim(instances[number % 4], f"a/{number}")))
        await asyncio.sleep(1 / load)
    found = await asyncio.gather(*taking)
    beating.cancel()
    return sum(found), platform.write_count


@pytest.mark.parametrize("load", [50, 500, 5000])
def test_the_rate_of_writes_is_that_of_the_writers(load: int) -> None:
    """Symptom: the platform's several hundred writes a second are used up by claims.

    Events: the load grows to some thousand non-idempotent requests a second.
    Cause: each claim is a write of its own, so that the rate grows with the load.
    """
    with builders.virtual_time() as loop:
        taken, writes = loop.run_until_complete(flood(load, loop))
    assert taken == load * SECONDS
    # One interval more at each writer for the claims of the last moment.
    assert writes <= builders.WRITERS * (SECONDS / builders.BATCH_INTERVAL + 2)


def test_two_claims_of_one_key_in_one_batch() -> None:
    """Symptom: two entries run one request, each with the writer's word for it.

    Events: a caller sends it to both at once, and both claims come into one batch.
    Cause: both rows are absent when the batch is committed, so the conditions
    hold, and the second write goes over the first.
    """

    async def race(loop: builders.VirtualLoop) -> list[bool]:
        platform = builders.platform_in(loop)
        bus = builders.Bus()
        instances = [builders.Instance(bus, n, platform.table) for n in (1, 2, 3)]
        await builders.pass_time(bus, 1.0)
        return await asyncio.gather(*(claim(one, "a/1") for one in instances))

    with builders.virtual_time() as loop:
        found = loop.run_until_complete(race(loop))
    assert sorted(found) == [False, False, True]
