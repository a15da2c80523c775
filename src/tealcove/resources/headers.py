"""Request headers and query parameters of the resource API."""

from __future__ import annotations

import re

from aiohttp import web

from tealcove import count, ids
from tealcove.resources import refusals

ETAG = re.compile(r'"(\d{1,15})"\Z')
MAX_KEY_LENGTH = 255
MAX_PAGE_SIZE = 1000
DEFAULT_PAGE_SIZE = 100


def if_match(request: web.Request) -> ids.Revision | None:
    """Return the revision of If-Match, or None; raises BadRequestError."""
    text = request.headers.get("If-Match")
    if text is None:
        return None
    found = ETAG.match(text.strip())
    if found is None:
        raise refusals.BadRequestError(
            f"If-Match: {text} isn't a revision",
            'Write the number of metadata.revision in quotes, as If-Match: "17".',
        )
    return ids.Revision(int(found.group(1)))


def must_be_new(request: web.Request) -> bool:
    """Tell whether If-None-Match: * was sent; raises BadRequestError."""
    text = request.headers.get("If-None-Match")
    if text is None:
        return False
    if text.strip() != "*" or "If-Match" in request.headers:
        raise refusals.BadRequestError(
            f"If-None-Match: {text} isn't taken here",
            "Send If-None-Match: * to create, or If-Match to change.",
        )
    return True


def idempotency_key(request: web.Request) -> ids.IdempotencyKey | None:
    """Return the Idempotency-Key, or None; raises BadRequestError."""
    text = request.headers.get("Idempotency-Key")
    if text is None:
        return None
    if not 1 <= len(text) <= MAX_KEY_LENGTH:
        raise refusals.BadRequestError(
            "the Idempotency-Key is empty or too long",
            f"Send one of 1 to {MAX_KEY_LENGTH} characters, drawn for this change.",
        )
    return ids.IdempotencyKey(text)


def flag(request: web.Request, name: str) -> bool:
    """Return a boolean query parameter; raises BadRequestError."""
    text = request.query.get(name, "false")
    if text not in ("true", "false"):
        raise refusals.BadRequestError(
            f"{name}={text} is neither true nor false", f"Send {name}=true."
        )
    return text == "true"


def number(request: web.Request, name: str, default: int) -> int:
    """Return an integer query parameter; raises BadRequestError."""
    text = request.query.get(name)
    if text is None:
        return default
    found = count.read(text)
    if found is None:
        raise refusals.BadRequestError(
            f"{name}={text} isn't a whole number", f"Send {name} in digits."
        )
    return found


def limit(request: web.Request) -> int:
    """Return the maximum number of items per page; raises BadRequestError."""
    wanted = number(request, "limit", DEFAULT_PAGE_SIZE)
    if not 1 <= wanted <= MAX_PAGE_SIZE:
        raise refusals.BadRequestError(
            f"limit={wanted} is out of range", f"Send 1 to {MAX_PAGE_SIZE}."
        )
    return wanted
