"""Wire formats of calls to model engines."""

from __future__ import annotations

import msgspec

from tealcove.backends import engine


class Event(msgspec.Struct):
    """An event of an engine's stream."""

    id: str
    index: int
    text: str = ""
    count: int = 1
    finish: str | None = None
    usage: engine.Usage | None = None


class CompletionBody(msgspec.Struct, omit_defaults=True):
    """The body of a completion request to an engine."""

    model: str
    prompt: str
    max_tokens: int
    adapter: str | None = None
    stream: bool = True


class Health(msgspec.Struct):
    """The body of an engine's response to a health check."""

    state: str
