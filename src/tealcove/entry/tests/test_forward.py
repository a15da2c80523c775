"""Calls to plain services, as callers and services see them."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import web

from tealcove.dispatch import messages
from tealcove.entry import reply
from tealcove.entry.tests import builders

LONG = 4 * reply.MAX_BUFFERED_BYTES


async def test_a_call_is_forwarded_complete_and_without_the_key() -> None:
    seen: list[web.Request] = []

    async def handler(request: web.Request) -> web.Response:
        seen.append(request)
        response = web.Response(status=418, body=await request.read())
        response.headers.add("Set-Cookie", "a=1")
        response.headers.add("Set-Cookie", "b=2")
        response.headers["Connection"] = "x-hop"
        response.headers["X-Hop"] = "gone"
        return response

    async with builders.running(handler) as found:
        headers = {"Connection": "x-mine", "X-Mine": "gone", "X-Kept": "here"}
        for _ in range(2):
            async with found.call(
                "PATCH", "/app/a%2Fb?c=d%26", data=b"body", headers=headers
            ) as response:
                assert response.status == 418
                assert await response.read() == b"body"
                assert response.headers.getall("Set-Cookie") == ["a=1", "b=2"]
                assert "X-Hop" not in response.headers
                shown = response.headers["X-Request-Id"]
    assert seen[1].raw_path == "/app/a%2Fb?c=d%26"
    assert seen[1].headers["X-Request-Id"] == shown
    assert seen[1].headers["X-Kept"] == "here"
    # A cookie set for one caller must not be sent with another caller's call.
    for name in ("Authorization", "X-Mine", "Cookie"):
        assert name not in seen[1].headers


async def test_methods_without_a_body() -> None:
    async def handler(request: web.Request) -> web.Response:
        if request.method == "DELETE":
            return web.Response(status=204)
        return web.Response(body=b"12345")

    async with builders.running(handler) as found:
        async with found.call("HEAD", "/app/x") as response:
            assert response.headers["Content-Length"] == "5"
        async with found.call("DELETE", "/app/x") as response:
            assert (response.status, await response.read()) == (204, b"")


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/other", {}, 404),
        ("/app/%2e%2e/other", {}, 400),
        ("/app/x", {"Authorization": "Bearer wrong"}, 401),
        ("/app/x", {"Tealcove-Idempotent": "no"}, 400),
        ("/app/x", {"Idempotency-Key": "k" * 300}, 400),
        ("/app/x", {"Tealcove-Deadline": "soon"}, 400),
    ],
)
async def test_rejected(path: str, headers: dict[str, str], status: int) -> None:
    async def handler(request: web.Request) -> web.Response:
        raise AssertionError("it reached the service")

    async with builders.running(handler) as found:
        url = aiohttp.client.URL(path, encoded=True)
        async with found.call("POST", url, headers=headers) as response:
            assert response.status == status
            assert (await response.json())["outcome"] == "rejected"


async def test_a_body_beyond_the_limit_is_rejected() -> None:
    async def handler(request: web.Request) -> web.Response:
        raise AssertionError("it reached the service")

    async with builders.running(handler) as found:
        body = b"x" * (builders.LONGEST_BODY + 1)
        async with found.call("POST", "/app/x", data=body) as response:
            assert response.status == 413


@pytest.mark.parametrize("cut", [False, True])
async def test_a_long_response_is_complete_or_visibly_broken(cut: bool) -> None:
    """A caller would take a part of a long response for all of it.

    The service's connection breaks after the entry has begun to pass the response
    on. The entry must not terminate its own response normally then.
    """

    async def handler(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"x" * LONG)
        if cut:
            request.transport.abort()
            return response
        await response.write_eof()
        return response

    async with (
        builders.running(handler) as found,
        found.call("GET", "/app/x") as response,
    ):
        if cut:
            with pytest.raises(aiohttp.ClientError):
                await response.read()
        else:
            assert len(await response.read()) == LONG
    ended = messages.Outcome.FAILED if cut else messages.Outcome.COMPLETED
    assert found.entry.tickets.ended == [ended]


async def test_a_lost_answer_of_an_idempotent_call_is_interrupted() -> None:
    async def handler(request: web.Request) -> web.Response:
        request.transport.abort()
        return web.Response()

    async with (
        builders.running(handler) as found,
        found.call("PUT", "/app/x") as response,
    ):
        assert (await response.json())["outcome"] == "interrupted"


async def test_the_same_key_joins_and_another_body_is_rejected() -> None:
    """Two callers with the same key share one run, unless their requests differ.

    A key is used twice by mistake. If only keys were compared, a caller would get
    the answer to a request that it never sent.
    """
    arrived = asyncio.Event()
    go_on = asyncio.Event()
    calls = []

    async def handler(request: web.Request) -> web.Response:
        calls.append(request)
        arrived.set()
        await go_on.wait()
        return web.Response(body=b"once")

    async def send(found: builders.RunningEntry, body: bytes) -> tuple[int, bytes]:
        headers = {"Idempotency-Key": "k"}
        async with found.call("POST", "/app/x", data=body, headers=headers) as response:
            return response.status, await response.read()

    async with builders.running(handler) as found:
        first = asyncio.create_task(send(found, b"a"))
        await arrived.wait()
        assert (await send(found, b"b"))[0] == 422
        second = asyncio.create_task(send(found, b"a"))
        await found.wait_until_joined()
        go_on.set()
        assert await asyncio.gather(first, second) == [(200, b"once")] * 2
    assert len(calls) == 1
