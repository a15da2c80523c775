"""The demo's callers classify good and bad answers."""

from __future__ import annotations

import pytest
from aiohttp import web

from tealcove.demonstration import callers, mix
from tealcove.demonstration.tests import builders
from tealcove.standins import answers

PROMPT = builders.request().content
TEXT = answers.expected_answer(PROMPT, 4)
CHAT_TEXT = answers.expected_answer(f"user: {PROMPT}\n", 4)
CHAT = {"kind": mix.RequestKind.CHAT, "stream": False}
WHOLE = [builders.event(TEXT[:4]), builders.event(TEXT[4:]), builders.event("", 4)]


async def end_of(handler, **fields):
    """Send one request to a server with this handler and return the answer."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    try:
        sending = callers.Callers(url, {"label-press": "key"})
        (found,) = await sending.send_all([builders.request(**fields)])
    finally:
        await runner.cleanup()
    return found.answer


@pytest.mark.parametrize(
    ("events", "broken", "end"),
    [
        (WHOLE, False, callers.End.WHOLE),
        (WHOLE[:2], False, callers.End.MIXED_UP),
        ([builders.event(TEXT[::-1]), WHOLE[2]], False, callers.End.MIXED_UP),
        (WHOLE[:1], True, callers.End.INTERRUPTED),
    ],
    ids=["whole", "no closing event", "another text", "broken off"],
)
async def test_stream(events, broken, end):
    async def handler(request):
        response = web.StreamResponse()
        await response.prepare(request)
        for event in events:
            await response.write(event)
        if broken:
            request.transport.close()
        return response

    assert (await end_of(handler)).end is end


@pytest.mark.parametrize(
    ("status", "body", "end"),
    [
        (200, {"choices": [{"message": {"content": CHAT_TEXT}}]}, callers.End.WHOLE),
        (200, {"choices": [{"message": {"content": TEXT}}]}, callers.End.MIXED_UP),
        (503, {"outcome": "not_run", "reason": "overload"}, callers.End.NOT_RUN),
        (500, {"outcome": "unknown"}, callers.End.UNKNOWN),
        (500, "no problem document", callers.End.LOST),
    ],
)
async def test_buffered(status, body, end):
    async def handler(request):
        return web.json_response(body, status=status)

    assert (await end_of(handler, **CHAT)).end is end


async def test_connection_cut_before_an_answer():
    async def handler(request):
        request.transport.abort()

    assert (await end_of(handler, **CHAT)).end is callers.End.LOST
