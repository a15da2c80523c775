"""Sends the answer of a request to one caller: complete, or visibly broken."""

from __future__ import annotations

import multidict
from aiohttp import web

from tealcove import clock
from tealcove.callermemory import answer as caller_answer
from tealcove.callermemory import holding
from tealcove.claims import claim
from tealcove.entry import fields, forward, generation, openai, problem, reply


async def send_generation(
    request: web.Request, running: generation.EngineExchange
) -> web.StreamResponse:
    """Send an engine's answer; raises ProblemError before the first byte."""
    if running.call.stream:
        return await stream_generation(request, running)
    await running.answer.wait()
    return build_response(running.complete_answer())


def build_response(answer: claim.StoredAnswer) -> web.Response:
    """Return the response for a complete answer."""
    headers = multidict.CIMultiDict(answer.headers)
    return caller_answer.SlicedResponse(
        status=answer.status, headers=headers, body=answer.body
    )


async def stream_generation(
    request: web.Request, running: generation.EngineExchange
) -> web.StreamResponse:
    """Stream the answer; abort the connection if it fails."""
    response = web.StreamResponse(
        headers={
            "Content-Type": generation.EVENT_STREAM,
            "Cache-Control": "no-cache",
            "X-Request-Id": running.request.request_id,
        }
    )
    renderer = running.renderer()
    try:
        async for chunks in running.answer.read():
            if not response.prepared:
                await response.prepare(request)
            # All chunks available so far are sent in one write.
            await response.write(
                b"".join(renderer.chunk_event(one.text) for one in chunks)
            )
    except problem.ProblemError:
        if not response.prepared:
            raise
        return abort(request, response)
    if not response.prepared:
        await response.prepare(request)
    found = running.answer
    closing = renderer.closing_event(found.finish, found.usage)
    await response.write_eof(closing + openai.DONE_EVENT)
    return response


def abort(request: web.Request, response: web.StreamResponse) -> web.StreamResponse:
    """Abort the connection of a response that can't be completed.

    The body isn't terminated, so that no client library takes the fragment for the
    complete answer.
    """
    if request.transport is not None:
        request.transport.abort()
    return response


async def send_reply(
    request: web.Request, running: forward.ServiceExchange
) -> web.StreamResponse:
    """Send a service's response; raises ProblemError before the first byte."""
    found = running.answer
    reader = found.add_reader()
    try:
        if await found.wait():
            response = build_response(running.complete_answer())
            held = holding.of_request(request, clock.now())
            held.add(len(response.body or b""))
            return response
        return await stream_reply(request, running, reader)
    finally:
        found.remove_reader(reader)


async def stream_reply(
    request: web.Request, running: forward.ServiceExchange, reader: reply.Reader
) -> web.StreamResponse:
    """Stream a long response; abort the connection if it fails."""
    found = running.answer
    headers = fields.returned_headers(found.head, running.request.request_id)
    response = web.StreamResponse(
        status=found.head.status, headers=multidict.CIMultiDict(headers)
    )
    await response.prepare(request)
    try:
        async for part in found.read(reader):
            await response.write(part)
    except problem.ProblemError:
        return abort(request, response)
    await response.write_eof()
    return response
