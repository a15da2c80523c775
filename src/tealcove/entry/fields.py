"""Headers that are forwarded with a call and its answer (RFC 9110, section 7.6)."""

from __future__ import annotations

from collections.abc import Mapping

from tealcove.backends import service

CONTENT_LENGTH = "content-length"
# Hop-by-hop headers (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The account's key is only for this entry; length and host belong to the entry's own
# connection; `Expect` was answered when the body was read.
NOT_FORWARDED = HOP_BY_HOP | {"authorization", CONTENT_LENGTH, "expect", "host"}
REQUEST_ID = "x-request-id"
CONTENT_ENCODING = "content-encoding"
# Codings that aiohttp's server decodes when it reads a request's body.
DECODED_CODINGS = frozenset({"br", "deflate", "gzip", "zstd"})


def forwarded_headers(headers: Mapping[str, str]) -> service.Headers:
    """Return the headers of a caller that are forwarded to the service."""
    pairs = tuple((str(name), value) for name, value in headers.items())
    kept = end_to_end(pairs, NOT_FORWARDED)
    return tuple(pair for pair in kept if not is_decoded_coding(*pair))


def returned_headers(head: service.Head, request_id: str) -> service.Headers:
    """Return the headers of a service that are returned to the caller."""
    kept = end_to_end(head.headers, HOP_BY_HOP | {REQUEST_ID, CONTENT_LENGTH})
    return (*kept, ("X-Request-Id", request_id))


def content_length(head: service.Head) -> service.Headers:
    """Return the Content-Length header, if there is one."""
    return tuple(p for p in head.headers if p[0].lower() == CONTENT_LENGTH)


def end_to_end(headers: service.Headers, dropped: frozenset[str]) -> service.Headers:
    """Return the headers without `dropped` and those that `Connection` names."""
    lists = [value for name, value in headers if name.lower() == "connection"]
    named = {name.strip().lower() for name in ",".join(lists).split(",")}
    return tuple(p for p in headers if p[0].lower() not in dropped | named)


def is_decoded_coding(name: str, value: str) -> bool:
    """Tell whether a header names a coding that was already decoded."""
    return name.lower() == CONTENT_ENCODING and value.lower() in DECODED_CODINGS
