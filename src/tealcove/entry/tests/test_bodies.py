"""Request bodies that are too long, too slow, or don't match their headers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from tealcove import settings
from tealcove.entry.tests import builders


async def never(request: web.Request) -> web.Response:
    raise AssertionError("nothing may be forwarded")


async def rejection(found: builders.RunningEntry, data: object, **headers: str) -> int:
    """Send a body and return the status of the rejection."""
    async with found.call("POST", "/app/x", data=data, headers=headers) as response:
        assert (await response.json(content_type=None))["outcome"] == "rejected"
        return response.status


async def test_unreadable_bodies_are_rejected() -> None:
    """Memory would never be freed, or a caller's error would be answered with 500.

    A caller sends a part of its body and then nothing, or a body in another coding
    than its header names. Reading needs a time limit, and decoding errors a check.
    """
    ended = asyncio.Event()

    async def trickle() -> AsyncIterator[bytes]:
        yield b"a part"
        await ended.wait()

    async with builders.running(never) as found:
        limits = settings.Limits(idle_seconds=0.1)
        own = found.entry.settings
        found.entry.settings = msgspec.structs.replace(own, limits=limits)
        long = bytes(builders.LONGEST_BODY + 1)
        assert await rejection(found, long) == 413
        coded = {"Content-Encoding": "gzip"}
        assert await rejection(found, b"not gzip", **coded) == 400
        assert await rejection(found, trickle()) == 408
        ended.set()
        assert found.entry.in_progress == set()
