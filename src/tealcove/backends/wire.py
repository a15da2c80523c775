"""Bodies of calls to model engines, as they stand on the wire."""

from __future__ import annotations

import msgspec

from tealcove.backends import engine


class Event(msgspec.Struct):
    """An event of an engine's stream, as it stands on the wire."""

    id: str
    index: int
    text: str = ""
    count: int = 1
    finish: str | None = None
    usage: engine.Usage | None = None


class CompletionBody(msgspec.Struct, omit_defaults=True):
    """The body of a request to an engine, as it stands on the wire."""

    model: str
    prompt: str
    max_tokens: int
    adapter: str | None = None
    stream: bool = True


class Health(msgspec.Struct):
    """The body of an engine's answer about its health."""

    state: str
