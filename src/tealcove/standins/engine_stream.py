"""The event stream of a completion, with injected faults."""

from __future__ import annotations

import msgspec
from aiohttp import web

from tealcove.standins import answers, backend_settings, engine_batch

DONE = b"data: [DONE]\n\n"
OTHER_PROMPT = "someone else's prompt"
# Index of the event that `duplicate`, `reorder` and `drop` affect.
FAULTY_EVENT = 1


class Chunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event with `count` tokens, the first of them at `index`."""

    id: str
    index: int
    text: str
    count: int = 1


class Usage(msgspec.Struct, frozen=True):
    """The token counts of a request."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class Final(msgspec.Struct, frozen=True):
    """The last event of an answer; `index` is the number of tokens."""

    id: str
    index: int
    finish: str
    usage: Usage


class StreamFaults(msgspec.Struct, frozen=True):
    """The faults of one answer."""

    wrong_id: bool = False
    wrong_event_id: bool = False
    duplicate: bool = False
    reorder: bool = False
    drop: bool = False
    cut_after: int | None = None

    @property
    def affects_event(self) -> bool:
        """Whether a single event is duplicated, reordered or dropped."""
        return self.duplicate or self.reorder or self.drop


def event(value: msgspec.Struct) -> bytes:
    """Encode a value as a server-sent event."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


class CutError(Exception):
    """The connection must be aborted without an end of the answer."""


class Stream:
    """Writes one run's events to one connection."""

    def __init__(
        self,
        run: engine_batch.Run,
        offset: int,
        faults: StreamFaults,
        response: web.StreamResponse,
    ) -> None:
        self.run = run
        self.position = offset
        self.faults = faults
        self.response = response
        self.sent_events = 0
        self.sent_tokens = 0
        # A reordered event, which is sent after its successor.
        self.held_back = b""
        other = faults.wrong_id or faults.wrong_event_id
        self.id = backend_settings.OTHER_ID if other else run.request_id
        self.key = answers.answer_key(OTHER_PROMPT) if other else run.key

    async def write(self) -> None:
        """Write all events up to the last one; raises CutError.

        A cancelled run has no last event; its connection is aborted, so that no
        client mistakes the partial answer for a complete one.
        """
        run = self.run
        while True:
            run.changed.clear()
            await self.write_tokens()
            if run.state is engine_batch.RunState.CANCELLED:
                raise CutError
            if self.position < run.produced:
                continue
            if run.ended:
                break
            await run.changed.wait()
        await self.write_last()

    async def write_tokens(self) -> None:
        """Write the tokens available so far as one event."""
        stop = self.run.produced
        if self.sent_events <= FAULTY_EVENT and self.faults.affects_event:
            # On a slow machine one event can hold all tokens, but a fault needs a
            # second event.
            stop = min(stop, self.position + 1)
        cut = self.faults.cut_after
        if cut is not None:
            stop = min(stop, self.position + cut - self.sent_tokens)
        if stop > self.position:
            await self.write_chunk(stop)
        if cut is not None and self.sent_tokens >= cut:
            raise CutError

    async def write_chunk(self, stop: int) -> None:
        """Write one event with the tokens before `stop`."""
        start, self.position = self.position, stop
        text = answers.text_between(self.key, start, stop)
        count = stop - start
        content = event(Chunk(self.id, start, text, count))
        self.sent_tokens += count
        number, self.sent_events = self.sent_events, self.sent_events + 1
        if number == FAULTY_EVENT:
            content = self.apply_fault(content)
        elif self.held_back:
            content, self.held_back = content + self.held_back, b""
        if content:
            await self.response.write(content)

    def apply_fault(self, content: bytes) -> bytes:
        """Return what is written in place of the faulty event."""
        if self.faults.drop:
            return b""
        if self.faults.reorder:
            self.held_back = content
            return b""
        if self.faults.duplicate:
            return content * 2
        return content

    async def write_last(self) -> None:
        """Write the last event and the end marker."""
        usage = Usage(
            self.run.prompt_tokens, self.run.cached_tokens, self.run.max_tokens
        )
        final = event(Final(self.id, self.run.max_tokens, "stop", usage))
        await self.response.write(final + self.held_back + DONE)
