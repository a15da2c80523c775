"""Accounts as operators see them: counts, log lines and ordered weights."""

from __future__ import annotations

import asyncio
import contextlib
import io
from collections.abc import Iterator

import msgspec
import pytest

from tealcove import logs, settings
from tealcove.front import instance
from tealcove.platform import names
from tests import platform_site

NOT_FOUND = 404
UNAUTHORIZED = 401
NOT_RUN = 503
# Longer than any test.
FOREVER_SECONDS = 3600.0


class Lines(io.StringIO):
    """The log as JSON lines."""

    def of(self, request: str) -> list[str]:
        """Return the messages about a request."""
        found = [msgspec.json.decode(one) for one in self.getvalue().splitlines()]
        return [one["message"] for one in found if one.get("request") == request]


@pytest.fixture
def lines() -> Iterator[Lines]:
    """Capture the log lines of all instances in this process."""
    found = Lines()
    handler = logs.JsonHandler(settings.Settings(instance="i", data_centre="dc"), found)
    handler.bubble = True
    with contextlib.ExitStack() as stack:
        stack.enter_context(handler.applicationbound())
        yield found


def results(at: instance.Instance) -> dict[tuple[str, str, str], float]:
    """Return the counts of an instance by account, result and reason."""
    return {
        (one.labels["account"], one.labels["result"], one.labels["reason"]): one.value
        for one in at.counts.count_samples()
    }


async def test_served_and_refused_requests_are_counted_by_account(
    lines: Lines,
) -> None:
    """Guards against operators who can't see whose requests are refused, or why."""
    async with platform_site.connected_site(1, 1) as site:
        first = site.instances[0]
        assert (await site.send("/safe/1")).status == 200
        assert (await site.send("/stream/1")).status == 200
        first.ingress.is_closed = True
        assert (await site.send("/safe/2")).status == NOT_RUN
        assert results(first) == {
            ("bakery", "in_time", ""): 1.0,
            ("bakery", "refused", "leaving"): 1.0,
        }
        text = first.metrics.metrics_text().decode()
        assert (
            'tealcove_accounts_requests_total{account="bakery",data_centre="dc-1",'
            'reason="leaving",result="refused",route="safe",urgency="0"} 1.0'
        ) in text
        assert (
            'tealcove_accounts_waited_seconds_count{account="bakery",'
            'data_centre="dc-1",route="stream",urgency="0"} 1.0'
        ) in text
    served = lines.of("r-1")
    assert "account bakery" in served[0]
    assert "served in time: account bakery, route safe, urgency 0" in served[-1]
    assert lines.of("r-3") == [
        "refused on arrival: leaving, retry after 0.200 s, "
        "account bakery, route safe, urgency 0"
    ]


async def test_each_request_has_a_line_that_says_how_it_ended(lines: Lines) -> None:
    """Guards against request ids of which the log knows no end.

    Requests that are turned away before they are accepted, and those whose callers
    disconnect while they wait for a slot, left no line at the entry.
    """
    async with platform_site.connected_site(1, 1) as site:
        first = site.instances[0]
        key = {names.API_KEY.replace("-", "_"): "wrong"}
        assert (await site.send("/absent/1")).status == NOT_FOUND
        assert (await site.send("/safe/1", **key)).status == UNAUTHORIZED
        server = site.servers[0]
        server.call_seconds = FOREVER_SECONDS
        waiting = asyncio.create_task(site.send("/safe/2"))
        await platform_site.until(lambda: bool(server.runs))
        waiting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await waiting
        await platform_site.until(lambda: not first.ingress.in_progress)
        # A caller that isn't known isn't counted by account.
        assert results(first) == {
            ("bakery", "failed", "rejected"): 1.0,
            ("bakery", "caller_gone", ""): 1.0,
        }
    assert lines.of("r-1")[-1].startswith("rejected: status 404, No route leads there")
    assert "account bakery" in lines.of("r-1")[-1]
    assert lines.of("r-2")[-1].startswith("rejected: status 401, The key is not known")
    assert "wrong" not in lines.getvalue()
    assert lines.of("r-3")[-1].startswith("caller gone after")
    assert "account bakery, route safe, urgency 0" in lines.of("r-3")[-1]
