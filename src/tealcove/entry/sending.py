"""How the answer of a request reaches one caller: whole, or visibly broken."""

from __future__ import annotations

import multidict
from aiohttp import web

from tealcove.entry import forward, generation, openai, problem, reply

NOT_MODIFIED = 304


async def send_generation(
    request: web.Request, running: generation.EngineExchange
) -> web.StreamResponse:
    """Send an engine's answer; raises ProblemError before the first byte."""
    if running.call.stream:
        return await stream_generation(request, running)
    await running.answer.wait()
    found = running.answer
    body = form(running).whole(found.text(), found.finish, found.usage)
    return web.Response(
        body=body,
        content_type="application/json",
        headers={"X-Request-Id": running.request.request_id},
    )


async def stream_generation(
    request: web.Request, running: generation.EngineExchange
) -> web.StreamResponse:
    """Send the answer as it grows; a broken one breaks the connection."""
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            "X-Request-Id": running.request.request_id,
        }
    )
    rendered = form(running)
    try:
        async for chunk in running.answer.read():
            if not response.prepared:
                await response.prepare(request)
            await response.write(rendered.event(chunk.text))
    except problem.ProblemError:
        if not response.prepared:
            raise
        return abort(request, response)
    if not response.prepared:
        await response.prepare(request)
    found = running.answer
    await response.write(rendered.closing_event(found.finish, found.usage))
    await response.write(openai.DONE_EVENT)
    await response.write_eof()
    return response


def abort(request: web.Request, response: web.StreamResponse) -> web.StreamResponse:
    """Break the connection of a response that can't be sent to its end.

    The body stays without its end, so that no client library takes the fragment
    for the whole answer.
    """
    if request.transport is not None:
        request.transport.abort()
    return response


def form(running: generation.EngineExchange) -> openai.Form:
    """Return what renders a request's answer."""
    call = running.call
    return openai.Form(running.request.request_id, call.model, call.chat)


async def send_reply(
    request: web.Request, running: forward.ServiceExchange
) -> web.StreamResponse:
    """Send a service's response; raises ProblemError before the first byte."""
    found = running.answer
    reader = found.join()
    try:
        if await found.wait():
            return whole_reply(running)
        return await stream_reply(request, running, reader)
    finally:
        found.leave(reader)


def whole_reply(running: forward.ServiceExchange) -> web.Response:
    """Return a response that is here whole."""
    found = running.answer
    headers = reply_headers(running)
    if running.call.method == "HEAD" or found.head.status == NOT_MODIFIED:
        # The length is that of the body which a GET would have got.
        length = multidict.CIMultiDict(found.head.headers).get("Content-Length")
        if length is not None:
            headers["Content-Length"] = length
    return web.Response(status=found.head.status, headers=headers, body=found.body())


async def stream_reply(
    request: web.Request, running: forward.ServiceExchange, reader: reply.Reader
) -> web.StreamResponse:
    """Send a long response as it comes; a broken one breaks the connection."""
    found = running.answer
    response = web.StreamResponse(
        status=found.head.status, headers=reply_headers(running)
    )
    await response.prepare(request)
    try:
        async for part in found.read(reader):
            await response.write(part)
    except problem.ProblemError:
        return abort(request, response)
    await response.write_eof()
    return response


def reply_headers(
    running: forward.ServiceExchange,
) -> multidict.CIMultiDict[str]:
    """Return the headers that go to the caller; some may stand several times."""
    found = forward.returned_headers(running.answer.head, running.request.request_id)
    return multidict.CIMultiDict(found)
