"""Decodes callers' requests and encodes the system's own responses."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping

import msgspec
from aiohttp import web

from tealcove import count, ids
from tealcove.entry import fields, problem
from tealcove.ingress import call, responses
from tealcove.platform import names

MILLISECONDS = 1000.0
# Headers of one connection, which aren't forwarded to the backend server. The length is
# set again, and the caller's transfer coding is removed when the body is read.
CONNECTION_HEADERS = fields.HOP_BY_HOP | {fields.CONTENT_LENGTH, "expect"}
# Headers that this system sets for each attempt.
REPLACED_HEADERS = frozenset((names.DEADLINE_MS.lower(), names.LAST_EVENT_ID.lower()))
# Decimal places of Retry-After, in seconds: callers accept fractions.
RETRY_DECIMALS = 3
# The parts of a prompt that are read, and the form of their ids: a caller may name as
# many and as long ones as fit into a header.
MAX_PARTS = 64
PART_ID = re.compile(r"[0-9a-fA-F]{1,64}")
HTTP_UNAVAILABLE = 503
HTTP_BAD_GATEWAY = 502
HTTP_GATEWAY_TIMEOUT = 504
HTTP_TOO_MANY_REQUESTS = 429
DEADLINE_REASON = "deadline"
ACCOUNT_LIMIT_REASON = "account_limit"


class CallerCodec(responses.Codec):
    """Codec for requests in the format of the platform's clients."""

    def read(self, request: web.BaseRequest, body: bytes) -> call.Call:
        """See Codec."""
        headers = request.headers
        request_id = self.request_id(request)
        if not request_id:
            raise call.UnreadableError(f"Send the header {names.REQUEST_ID}.")
        target = request.raw_path
        if not target.startswith("/"):
            raise call.UnreadableError("Begin the request's path with a slash.")
        deadline = read_number(headers.get(names.DEADLINE_MS), names.DEADLINE_MS)
        last = read_number(headers.get(names.LAST_EVENT_ID), names.LAST_EVENT_ID)
        return call.Call(
            request_id=request_id,
            method=request.method,
            target=target,
            host=headers.get("Host", ""),
            path=target.partition("?")[0],
            headers=forwarded_headers(request.headers),
            body=body,
            key=headers.get(names.API_KEY),
            caller_timeout=None if deadline is None else deadline / MILLISECONDS,
            work=read_work(request),
            parts=read_shared_parts(headers.getall(names.PREFIX_HASH, ())),
            last_event=None if last is None else int(last),
            resumes=ids.RequestId(headers.get(names.RESUMES, "")) or None,
        )

    def request_id(self, request: web.BaseRequest) -> ids.RequestId:
        """See Codec."""
        return ids.RequestId(request.headers.get(names.REQUEST_ID, ""))

    def respond(self, found: problem.Problem) -> web.Response:
        """See Codec.

        Only a request that hasn't run, and never will, gets a status that says so.
        """
        headers = {}
        if found.retry_after is not None:
            # Rounded up: a caller that retries too early is refused again.
            scale = 10**RETRY_DECIMALS
            seconds = math.ceil(found.retry_after * scale) / scale
            headers[names.RETRY_AFTER] = f"{seconds:g}"
        return web.Response(
            status=status_of(found),
            body=msgspec.json.encode(found),
            headers=headers,
            content_type=problem.CONTENT_TYPE,
        )


def status_of(found: problem.Problem) -> int:
    """Return the HTTP status for the outcome of a request."""
    if found.outcome is problem.Outcome.REJECTED:
        return found.status
    if found.outcome is problem.Outcome.NOT_RUN:
        is_over_limit = found.reason == ACCOUNT_LIMIT_REASON
        return HTTP_TOO_MANY_REQUESTS if is_over_limit else HTTP_UNAVAILABLE
    return HTTP_GATEWAY_TIMEOUT if found.reason == DEADLINE_REASON else HTTP_BAD_GATEWAY


def forwarded_headers(headers: Mapping[str, str]) -> call.Headers:
    """Return the headers to forward to the backend server."""
    pairs = tuple((str(name), value) for name, value in headers.items())
    return fields.end_to_end(
        pairs, CONNECTION_HEADERS | REPLACED_HEADERS | names.RESERVED_HEADERS
    )


def read_work(request: web.BaseRequest) -> call.Work:
    """Return a request's token counts; raises UnreadableError."""
    tokens = request.headers.get(names.TOKEN_COUNT)
    if tokens is None:
        return call.Work()
    prompt, _, output = (count.read(part) for part in tokens.partition(","))
    if prompt is None or output is None:
        raise call.UnreadableError(f"Write {names.TOKEN_COUNT} as two whole numbers.")
    # An invalid hint only makes the estimate less accurate.
    expected = count.read(request.headers.get(names.LENGTH_HINT, "")) or 0
    return call.Work(prompt, output, min(expected, output))


def read_shared_parts(lines: Iterable[str]) -> tuple[ids.PartId, ...]:
    """Return the parts of a prompt but the last, which is the request's own.

    A part that can't be read is left out: the prompt's servers may be able to.
    """
    listed = [entry for line in lines for entry in line.split(",")][:-1]
    found = (entry.partition(":")[0].strip() for entry in listed[:MAX_PARTS])
    known = (part.lower() for part in found if PART_ID.fullmatch(part))
    return tuple(dict.fromkeys(map(ids.PartId, known)))


def read_number(text: str | None, header: str) -> float | None:
    """Return a header's number, None without one; raises UnreadableError."""
    if text is None:
        return None
    found = count.read_number(text)
    if found is None:
        raise call.UnreadableError(f"Write {header} as a number from 0 on.")
    return found
