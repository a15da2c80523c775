"""Requests to backend servers in another data centre."""

from __future__ import annotations

from tealcove.front import settings
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
