"""A caller's request, as it was read."""

from __future__ import annotations

import msgspec

from tealcove import ids

Headers = tuple[tuple[str, str], ...]


class Work(msgspec.Struct, frozen=True):
    """What a request asks of a model engine; zeros for any other request."""

    prompt_tokens: int = 0
    # The most that it may generate, and what its caller expects.
    output_tokens: int = 0
    expected_tokens: int = 0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request, its body whole."""

    # The caller's own, which the backend server echoes.
    request_id: ids.RequestId
    method: str
    # Path and query exactly as they came.
    target: str
    host: str
    path: str
    # Those that go on to the backend server.
    headers: Headers
    body: bytes
    # The caller's key; it must never be passed on, logged or traced.
    key: str | None
    # Seconds that the caller waits; absent: it hasn't said.
    caller_timeout: float | None
    work: Work
    # The last event that the caller has, when it resumes a stream.
    last_event: int | None = None


class UnreadableError(Exception):
    """A request whose headers can't be used; the text says what to write."""
