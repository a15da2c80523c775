"""Requests that are ended since their instance stops."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web

from tealcove.dispatch import messages
from tealcove.entry.tests import builders


async def outcome(response: aiohttp.ClientResponse) -> tuple[int, str, str]:
    """Return the status, the outcome and the reason of a problem answer."""
    found = await response.json(content_type=None)
    return response.status, found["outcome"], found["reason"]


async def until_begun(found: builders.RunningEntry) -> None:
    """Wait until the entry has a request in progress."""
    async with asyncio.timeout(builders.GENEROUS_SECONDS):
        while not found.entry.in_progress and not found.entry.reading:  # noqa: ASYNC110
            await asyncio.sleep(builders.POLL)


async def test_a_request_at_a_server_is_interrupted():
    """Guards against a connection that is closed in place of an answer."""
    began = asyncio.Event()

    async def wait(request: web.Request) -> web.Response:
        began.set()
        await asyncio.Event().wait()

    async with builders.running(wait) as found:
        calling = asyncio.create_task(found.call("GET", "/app/x").__aenter__())
        await began.wait()
        found.entry.end_requests()
        response = await calling
        assert await outcome(response) == (502, "interrupted", "leaving")
        assert found.entry.tickets.ended == [messages.Outcome.CANCELLED]
        assert found.entry.in_progress == set()


async def test_a_request_that_waits_for_a_slot_is_refused(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against requests that have not run and get no answer that says so."""

    async def wait(request: web.Request) -> web.Response:
        raise AssertionError("nothing may be forwarded")

    async with builders.running(wait) as found:

        async def obtain(request: object) -> messages.Grant:
            await asyncio.Event().wait()

        monkeypatch.setattr(found.entry.tickets, "obtain", obtain)
        calling = asyncio.create_task(found.call("GET", "/app/x").__aenter__())
        await until_begun(found)
        await asyncio.sleep(builders.POLL)
        found.entry.end_requests()
        response = await calling
        assert await outcome(response) == (503, "not_run", "leaving")


async def test_a_request_whose_body_is_slow_is_refused():
    """Guards against requests that are cut while their bodies are being read."""
    ended = asyncio.Event()

    async def trickle() -> AsyncIterator[bytes]:
        yield b"a part"
        await ended.wait()

    async def wait(request: web.Request) -> web.Response:
        raise AssertionError("nothing may be forwarded")

    async with builders.running(wait) as found:
        calling = asyncio.create_task(
            found.call("POST", "/app/x", data=trickle()).__aenter__()
        )
        await until_begun(found)
        found.entry.end_requests()
        response = await calling
        assert await outcome(response) == (503, "not_run", "leaving")
        ended.set()
