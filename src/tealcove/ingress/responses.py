"""Responses to callers, and the interface that encodes them."""

from __future__ import annotations

import abc

import multidict
from aiohttp import web

from tealcove import ids
from tealcove.callermemory import answer
from tealcove.entry import problem
from tealcove.ingress import call, link


class Codec(abc.ABC):
    """Decodes callers' requests and encodes problems as responses."""

    @abc.abstractmethod
    def read(self, request: web.BaseRequest, body: bytes) -> call.Call:
        """Decode a caller's request; raises call.UnreadableError."""

    @abc.abstractmethod
    def request_id(self, request: web.BaseRequest) -> ids.RequestId:
        """Return the id of a caller's request, or "" if it has none."""

    @abc.abstractmethod
    def respond(self, found: problem.Problem) -> web.Response:
        """Return the response for a problem."""


def buffered_response(head: link.Head, body: bytes) -> web.Response:
    """Return a response with a backend server's status, headers and body."""
    headers = multidict.CIMultiDict(head.headers)
    return answer.SlicedResponse(status=head.status, headers=headers, body=body)


def stream_response(head: link.Head) -> web.StreamResponse:
    """Return an unstarted streaming response with a backend server's head."""
    headers = multidict.CIMultiDict(head.headers)
    return web.StreamResponse(status=head.status, headers=headers)


def abort_connection(request: web.Request) -> None:
    """Abort the connection of a response that can't be completed.

    The body is left unterminated, so that no caller takes it for complete.
    """
    if request.transport is not None:
        request.transport.abort()
