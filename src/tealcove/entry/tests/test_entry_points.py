"""The addresses that callers are told."""

from __future__ import annotations

from aiohttp import web

from tealcove.entry.tests import builders
from tealcove.membership import messages


async def never(request: web.Request) -> web.Response:
    raise AssertionError("nothing may be forwarded")


async def test_an_instance_that_knows_no_address_says_so() -> None:
    """Callers keep an empty list, and send nothing for as long as they keep it.

    Symptom: requests of a caller fail for seconds although instances serve.
    Sequence: the caller asks an instance that has just started and heard nobody.
    Cause: an answer without any address, with the usual time to live.
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
