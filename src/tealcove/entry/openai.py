"""Answers in the format of the OpenAI API."""

from __future__ import annotations

import msgspec

from tealcove.backends import engine

DONE_EVENT = b"data: [DONE]\n\n"


class Message(msgspec.Struct, omit_defaults=True):
    """A chat message, or the part of one that a streamed event adds."""

    content: str = ""
    role: str = ""


class Choice(msgspec.Struct, omit_defaults=True, kw_only=True):
    """The single choice of an answer."""

    index: int
    finish_reason: str | None
    text: str | None = None
    message: Message | None = None
    delta: Message | None = None


class Usage(msgspec.Struct):
    """Tokens of a request; `total_tokens` is the sum of both."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Body(msgspec.Struct, omit_defaults=True, kw_only=True):
    """A buffered answer, or one event of a streamed one."""

    id: str
    object: str
    model: str
    choices: list[Choice]
    usage: Usage | None = None
    # Total of output tokens, in the closing event only: without it a stream is
    # incomplete.
    count: int | None = None


class Renderer:
    """Renders the answer of one request."""

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self.request_id = request_id
        self.model = model
        self.chat = chat

    def full_body(self, text: str, finish: str, usage: engine.Usage) -> bytes:
        """Return the body of a buffered answer."""
        choice = Choice(index=0, finish_reason=finish)
        if self.chat:
            choice.message = Message(content=text, role="assistant")
        else:
            choice.text = text
        name = "chat.completion" if self.chat else "text_completion"
        return msgspec.json.encode(self.body(name, choice, usage))

    def chunk_event(self, text: str) -> bytes:
        """Return the streamed event for one chunk."""
        return encode_event(self.body(self.stream_object, self.choice(text, None)))

    def closing_event(self, finish: str, usage: engine.Usage) -> bytes:
        """Return the closing event of a stream, with its token count."""
        body = self.body(self.stream_object, self.choice("", finish), usage)
        body.count = usage.completion_tokens
        return encode_event(body)

    @property
    def stream_object(self) -> str:
        """The object type of streamed events."""
        return "chat.completion.chunk" if self.chat else "text_completion"

    def choice(self, text: str, finish: str | None) -> Choice:
        """Return the choice of a streamed event."""
        if self.chat:
            return Choice(index=0, finish_reason=finish, delta=Message(content=text))
        return Choice(index=0, finish_reason=finish, text=text)

    def body(
        self, name: str, choice: Choice, usage: engine.Usage | None = None
    ) -> Body:
        """Return a body with the fields common to all bodies."""
        body = Body(id=self.request_id, object=name, model=self.model, choices=[choice])
        if usage is not None:
            total = usage.prompt_tokens + usage.completion_tokens
            body.usage = Usage(usage.prompt_tokens, usage.completion_tokens, total)
        return body


def encode_event(body: Body) -> bytes:
    """Return a server-sent event."""
    return b"data: " + msgspec.json.encode(body) + b"\n\n"
