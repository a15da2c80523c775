"""Completion and chat requests in the format of the OpenAI API."""

from __future__ import annotations

from typing import Annotated

import msgspec

from tealcove import decoding
from tealcove.entry import problem

DEFAULT_MAX_TOKENS = 256
MaxTokens = Annotated[int, msgspec.Meta(ge=1, le=131072)]


class CompletionRequest(msgspec.Struct, frozen=True):
    """The body of `POST /v1/completions`; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False
    # An adapter of the model, by its resource name.
    adapter: str | None = None


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class ChatRequest(msgspec.Struct, frozen=True):
    """The body of `POST /v1/chat/completions`; unknown fields are ignored."""

    model: str
    messages: Annotated[tuple[ChatMessage, ...], msgspec.Meta(min_length=1)]
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False
    adapter: str | None = None


class EngineCall(msgspec.Struct, frozen=True):
    """A completion or chat request in the common form for engines."""

    model: str
    adapter: str | None
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool


def parse_completion(body: bytes) -> EngineCall:
    """Parse a completion request; raises ProblemError (rejected)."""
    found = decode(body, CompletionRequest)
    return EngineCall(
        model=found.model,
        adapter=found.adapter,
        prompt=found.prompt,
        max_tokens=found.max_tokens,
        stream=found.stream,
        chat=False,
    )


def parse_chat(body: bytes) -> EngineCall:
    """Parse a chat request; raises ProblemError (rejected)."""
    found = decode(body, ChatRequest)
    prompt = "".join(
        f"{message.role}: {message.content}\n" for message in found.messages
    )
    return EngineCall(
        model=found.model,
        adapter=found.adapter,
        prompt=prompt,
        max_tokens=found.max_tokens,
        stream=found.stream,
        chat=True,
    )


def decode(
    body: bytes, expected: type[CompletionRequest] | type[ChatRequest]
) -> CompletionRequest | ChatRequest:
    """Decode a body; the error names the field and its expected type or range."""
    try:
        return decoding.decode_json(body, expected)
    except msgspec.MsgspecError as error:
        raise problem.rejected(
            400, "The body of the request can't be used", str(error)
        ) from error
