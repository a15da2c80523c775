"""Requests with bytes that are no text."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import tasks
from tealcove.dispatch import requester
from tealcove.platform import names
from tests import platform_site

NO_UTF8 = b"r-\xe9"


async def status_of(
    running: platform_site.Site, path: bytes, headers: dict[str, bytes]
) -> int:
    """Send a request whose bytes are given; return the status of its answer."""
    host, _, port = running.instances[0].settings.listen.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    sent = {
        "Host": platform_site.HOST.encode(),
        names.REQUEST_ID: b"r-1",
        names.API_KEY: platform_site.KEY.encode(),
        "Content-Length": b"0",
        **headers,
    }
    lines = [name.encode() + b": " + value for name, value in sent.items()]
    writer.write(b"\r\n".join([b"POST " + path + b" HTTP/1.1", *lines, b"", b""]))
    status = (await reader.readline()).split()[1]
    writer.close()
    return int(status)


@pytest.mark.parametrize(
    ("path", "header", "statuses"),
    [
        (b"/safe/a", names.REQUEST_ID, {400}),
        (b"/stream/a", names.RESUMES, {400}),
        (b"/safe/\xe9", "X-Own", {400}),
        (b"/safe/a", names.API_KEY, {401}),
        (b"/safe/a", "Host", {400, 404}),
        (b"/safe/a", names.DEADLINE_MS, {400}),
        (b"/safe/a", names.TOKEN_COUNT, {400}),
        (b"/safe/a", names.PREFIX_HASH, {200}),
        (b"/safe/a", "X-Own", {200}),
    ],
)
async def test_a_request_with_bytes_that_are_no_text_costs_itself_alone(
    path: bytes, header: str, statuses: set[int]
):
    """Guards against tickets that nobody refreshes after one that can't be sent."""
    before = tasks.RESTARTS.count
    async with platform_site.site(1) as running:
        assert await status_of(running, path, {header: NO_UTF8}) in statuses
        (one,) = running.instances
        assert not one.tickets.pending_tickets
        assert not one.ingress.in_progress
        await asyncio.sleep(2 * requester.REFRESH_INTERVAL)
        assert not one.tickets.refreshing.done()
        assert (await running.send("/safe/b")).status == 200
    assert tasks.RESTARTS.count == before
