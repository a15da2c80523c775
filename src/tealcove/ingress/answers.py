"""Answers on their way to callers."""

from __future__ import annotations

import abc

import multidict
from aiohttp import web

from tealcove.entry import problem
from tealcove.ingress import call, link


class Codec(abc.ABC):
    """How callers' requests and the answers to them are written."""

    @abc.abstractmethod
    def read(self, request: web.BaseRequest, body: bytes) -> call.Call:
        """Return a request as it was sent; raises call.UnreadableError."""

    @abc.abstractmethod
    def respond(self, found: problem.Problem) -> web.Response:
        """Return the answer that stands for a problem."""


def buffered_response(head: link.Head, body: bytes) -> web.Response:
    """Return the answer that passes on a backend server's."""
    headers = multidict.CIMultiDict(head.headers)
    return web.Response(status=head.status, headers=headers, body=body)


def stream_response(head: link.Head) -> web.StreamResponse:
    """Return the beginning of an answer that passes on a stream."""
    headers = multidict.CIMultiDict(head.headers)
    return web.StreamResponse(status=head.status, headers=headers)


def abort_connection(request: web.Request) -> None:
    """Break the connection of an answer that can't be sent to its end.

    Its body stays without an end, so that no caller takes the part for the whole.
    """
    if request.transport is not None:
        request.transport.abort()
