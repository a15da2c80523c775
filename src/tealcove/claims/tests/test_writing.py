"""The rate of writes, and two claims of one key in the same batch."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import clock, ids
from tealcove.claims import claimer
from tealcove.claims.tests import builders

SECONDS = 2.0


async def claim(instance: builders.Instance, key: str) -> bool:
    """Take a claim; return whether this instance got it."""
    deadline = ids.Instant(clock.now() + builders.DEADLINE)
    try:
        await instance.claimer.claim(key, builders.claim_of(instance), deadline)
    except claimer.TakenError:
        return False
    return True


async def flood(load: int, loop: builders.VirtualLoop) -> tuple[int, int]:
    """Take claims at a rate for SECONDS; return the claims taken and the writes."""
    platform = builders.platform_in(loop)
    bus = builders.Bus()
    instances = [builders.Instance(bus, n, platform.table) for n in range(1, 5)]
    await builders.pass_time(bus, 1.0)
    heartbeats = asyncio.create_task(builders.pass_time(bus, 10 * SECONDS))
    taking = []
    for number in range(int(load * SECONDS)):
        taking.append(asyncio.create_task(claim(instances[number % 4], f"a/{number}")))
        await asyncio.sleep(1 / load)
    found = await asyncio.gather(*taking)
    heartbeats.cancel()
    return sum(found), platform.write_count


@pytest.mark.parametrize("load", [50, 500, 5000])
def test_the_rate_of_writes_is_bounded_by_the_number_of_writers(load: int) -> None:
    """Guard against claims that use up the platform's several hundred writes a second.

    The load grows to some thousand non-idempotent requests a second. If each claim were
    a write of its own, the rate of writes would grow with the load.
    """
    with builders.virtual_time() as loop:
        taken, writes = loop.run_until_complete(flood(load, loop))
    assert taken == load * SECONDS
    # Each writer may use another interval for the last claims.
    assert writes <= builders.WRITERS * (SECONDS / builders.BATCH_INTERVAL + 2)


def test_only_one_of_two_claims_of_a_key_in_one_batch_is_granted() -> None:
    """Guard against two entries that run one request, each with a granted claim.

    A caller sends it to both at once, and both claims get into one batch. The row is
    absent when the batch is committed, so both conditions would hold, and the second
    write would overwrite the first.
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
