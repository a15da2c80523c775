"""Builders of requests and answers of the demo's callers."""

from __future__ import annotations

import msgspec

from tealcove.demonstration import callers, mix


def request(**fields: object) -> mix.Request:
    """Return a streamed request of the highest tier."""
    found = {
        "key": "key",
        "at": 0.0,
        "account": "label-press",
        "tier": "high",
        "kind": mix.RequestKind.COMPLETION,
        "content": "Allergens of a galette?",
        "max_tokens": 4,
        "stream": True,
        "deadline": 2.0,
    }
    return mix.Request(**{**found, **fields})


def answer(end: callers.End = callers.End.WHOLE, **fields: object) -> callers.Answer:
    """Return a final answer."""
    return callers.Answer(end=end, **{"request_id": "req-1", **fields})


def sent(
    found: callers.Answer, seconds: float = 1.0, **fields: object
) -> callers.CallResult:
    """Return a request with its answer; `fields` are the request's."""
    return callers.CallResult(request=request(**fields), answer=found, seconds=seconds)


def event(text: str, count: int | None = None) -> bytes:
    """Return an event of a streamed answer."""
    part = callers.Part(choices=(callers.Choice(text=text),), count=count)
    return b"data: " + msgspec.json.encode(part) + b"\n\n"
