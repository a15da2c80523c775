"""The addresses that are returned to callers."""

from __future__ import annotations

from aiohttp import web

from tealcove.entry.tests import builders
from tealcove.membership import messages


async def never(request: web.Request) -> web.Response:
    raise AssertionError("nothing may be forwarded")


async def test_without_any_address_the_answer_is_a_problem() -> None:
    """Callers cache an empty list and send nothing until its time to live ends.

    A caller asks an instance that has just started and received no heartbeat. Its
    requests would fail for seconds although other instances serve.
    """
    async with builders.running(never) as found:
        known = found.entry.members
        known.update_own(lifecycle=messages.Lifecycle.JOINING)
        async with found.session.get("/v1/entry-points") as response:
            assert response.status == 503
            assert response.headers["Retry-After"] == "1"
            problem = await response.json(content_type=None)
            assert problem["reason"] == "not_ready"
        known.update_own(lifecycle=messages.Lifecycle.SERVING)
        async with found.session.get("/v1/entry-points") as response:
            assert response.status == 200
            assert len((await response.json())["entry_points"]) == 1
