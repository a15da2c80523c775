"""Requests that share a part of their prompts on which backend servers crash."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import clock
from tealcove.platform import names
from tealcove.storage import faults
from tests import crashing_parts

NOT_RUN = 503
LONGEST_REFUSAL_SECONDS = 0.2
# Callers of a convicted part are told a time beyond that of any single request.
LEAST_RETRY_SECONDS = 60.0


@pytest.mark.parametrize(("seed", "interval"), [(1, 0.1), (2, 0.03), (3, 0.5)])
async def test_unlike_requests_with_one_part_crash_few_servers(
    seed: int, interval: float
) -> None:
    """Guards against a quarantine that knows only whole requests."""
    async with crashing_parts.crashing_site(seed) as running:
        await running.warm_up()
        await running.play(interval=interval)
        running.check()


async def test_servers_that_are_back_at_once_have_crashed_too() -> None:
    """Guards against a crash that is taken for one failed answer."""
    async with crashing_parts.crashing_site(5, away=0.0) as running:
        await running.warm_up()
        await running.play()
        running.check()


@pytest.mark.parametrize("path", ["stream", "safe", "once"])
async def test_the_first_part_may_be_the_guilty_one(path: str) -> None:
    """Guards against acquitting a part for its place, whatever the kind of request."""
    async with crashing_parts.crashing_site(6) as running:
        await running.warm_up(path)
        await running.play(before=(), path=path)
        running.check()


@pytest.mark.parametrize("seed", [7, 8])
async def test_a_site_that_has_just_started_finds_the_part(seed: int) -> None:
    """Guards against convicting the first part while no answer speaks for it."""
    async with crashing_parts.crashing_site(seed) as running:
        await running.play()
        running.check()


@pytest.mark.parametrize("share", [0.5, 1.0])
async def test_new_instances_refuse_the_part(share: float) -> None:
    """Guards against convictions that end with the instances that found them."""
    async with crashing_parts.crashing_site(9) as running:
        await running.warm_up()
        await running.play(seconds=3.0)
        arrivals = len(running.arrivals())
        assert arrivals
        await running.replace_instances(share)
        await running.play(seconds=3.0)
        assert len(running.arrivals()) == arrivals


async def test_the_part_is_found_while_the_store_is_away() -> None:
    """Guards against a quarantine that needs the platform's store."""
    async with crashing_parts.crashing_site(10, away=None) as running:
        await running.warm_up()
        running.site.store.memory.faults = faults.Faults(down=True)
        await running.play()
        running.check()


async def test_servers_that_crash_one_by_one_convict_no_part() -> None:
    """Guards against blaming what all requests share for crashes of other causes."""
    async with crashing_parts.crashing_site(11) as running:
        await running.warm_up()
        await asyncio.gather(
            running.send_sound(8.0, (crashing_parts.COMMON,), "stream"),
            running.crash_others(times=6, count=1, pause=1.0),
        )
        await running.finish()
        running.check_sound()
        assert not running.convicted()


@pytest.mark.parametrize(
    ("times", "count", "pause"), [(2, 3, 1.0), (12, 1, 0.1), (2, 8, 2.0)]
)
async def test_servers_lost_on_a_site_that_has_just_started_convict_no_part(
    times: int, count: int, pause: float
) -> None:
    """Guards against convicting a part that no answer has acquitted yet."""
    async with crashing_parts.crashing_site(12) as running:
        await asyncio.gather(
            running.send_sound(9.0, (crashing_parts.COMMON,), "stream"),
            running.crash_others(times, count, pause),
        )
        await running.finish()
        running.check_sound()
        assert not running.convicted()


async def test_the_part_is_found_among_crashes_of_other_causes() -> None:
    """Guards against crashes of other causes that hide, or explain, the guilty part."""
    async with crashing_parts.crashing_site(13) as running:
        await running.warm_up()
        await asyncio.gather(
            running.play(), running.crash_others(times=8, count=1, pause=0.7)
        )
        running.check()
        assert running.convicted() == {crashing_parts.BAD}


async def test_a_refusal_is_true_and_at_once() -> None:
    """Guards against telling callers of a convicted part to come back soon."""
    async with crashing_parts.crashing_site(14) as running:
        await running.warm_up()
        await running.play(seconds=2.0)
        arrivals = len(running.arrivals())
        sent_at = clock.now()
        answer = await running.send((crashing_parts.BAD,), "stream")
        assert clock.now() - sent_at < LONGEST_REFUSAL_SECONDS
        assert answer.status == NOT_RUN
        assert float(answer.headers[names.RETRY_AFTER]) > LEAST_RETRY_SECONDS
        assert len(running.arrivals()) == arrivals
