"""Requests to backend servers in another data centre."""

from __future__ import annotations

import asyncio

import pytest

from tealcove.front import instance, settings
from tests import platform_site

REQUESTS = 6


async def test_requests_that_cross_are_served_and_counted() -> None:
    """Guards against a budget that isn't applied, or that stops all crossings.

    All servers are in the first data centre. The budget of the second one's instance is
    used up by its first request; what crosses beyond it is still served.
    """
    changes = {"crossing": settings.Crossing(enabled=True, bytes_per_second=1.0)}
    async with platform_site.connected_site(2, 2, data_centres=2, **changes) as site:
        near, far = site.instances

        def crossings() -> tuple[int, int]:
            """Return the crossings of all dispatchers, and those beyond the budget."""
            found = [one.budgets for one in site.instances]
            return sum(b.crossings for b in found), sum(b.beyond for b in found)

        for number in range(REQUESTS):
            assert (await site.send(f"/safe/{number}", near)).status == 200
        assert crossings() == (0, 0)
        for number in range(REQUESTS):
            assert (await site.send(f"/safe/{number}", far, b"x" * 500)).status == 200
        crossed, beyond = crossings()
        assert crossed == REQUESTS
        assert beyond >= REQUESTS - 1
        assert sum(one.budgets.bytes for one in site.instances) > 500 * REQUESTS
        metrics = b"".join(one.metrics.metrics_text() for one in site.instances)
        assert b"tealcove_crossings_beyond_budget_total" in metrics


async def test_dispatchers_of_two_cells_share_a_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one budget for each cell, and parts that are kept for ever.

    Each server is a cell of its own, and the cells have at least two dispatchers. All
    servers are in the first data centre, and the callers use the second one's instance.
    """
    monkeypatch.setattr(instance, "CELL_SERVERS", 1)
    changes = {"crossing": settings.Crossing(enabled=True)}
    async with platform_site.connected_site(6, 5, data_centres=2, **changes) as site:
        far = site.instances[1]
        numbers = iter(range(1_000_000))

        def sharing() -> list[instance.Instance]:
            return [one for one in site.instances if one.budgets.least_share < 1.0]

        async def send() -> None:
            while True:
                await site.send(f"/safe/{next(numbers)}", far, b"x" * 500)

        sender = asyncio.create_task(send())
        await platform_site.until(lambda: len(sharing()) >= 2)
        metrics = sharing()[0].metrics.metrics_text()
        assert b"tealcove_crossings_share 1.0" not in metrics
        assert b"tealcove_crossings_share" in metrics
        sender.cancel()
        await asyncio.gather(sender, return_exceptions=True)
        await platform_site.until(lambda: not sharing())
