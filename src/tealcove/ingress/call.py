"""A caller's decoded request."""

from __future__ import annotations

import msgspec

from tealcove import ids

Headers = tuple[tuple[str, str], ...]


class Work(msgspec.Struct, frozen=True):
    """Token counts of a request to a model engine; 0 for any other request."""

    prompt_tokens: int = 0
    # Upper bound on generated tokens, and the number that the caller expects.
    output_tokens: int = 0
    expected_tokens: int = 0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request with its complete body."""

    # Set by the caller and echoed by the backend server.
    request_id: ids.RequestId
    method: str
    # Path and query, unmodified.
    target: str
    host: str
    path: str
    # Headers that are forwarded to the backend server.
    headers: Headers
    body: bytes
    # The caller's API key; it must never be forwarded, logged or traced.
    key: str | None
    # Seconds that the caller waits; None if it sent no deadline.
    caller_timeout: float | None
    work: Work
    # The parts of its prompt that other requests may share, in order.
    parts: tuple[ids.PartId, ...] = ()
    # Number of the last event that the caller received, when it resumes a stream.
    last_event: int | None = None
    # The attempt that brought the first event of the stream, when it resumes one.
    resumes: ids.RequestId | None = None


class UnreadableError(Exception):
    """A request has unusable headers; the text says what to send instead."""


def check_text(found: Call) -> None:
    """Raise UnreadableError for ids and a path that no message could hold."""
    texts = {
        "the request's id": found.request_id,
        "the id of the request that began the stream": found.resumes or "",
        "the request's path": found.target,
    }
    for name, text in texts.items():
        try:
            text.encode()
        except UnicodeEncodeError as error:
            raise UnreadableError(f"Write {name} in UTF-8.") from error
