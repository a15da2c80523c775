"""The event stream of one completion, with the faults of its connection."""

from __future__ import annotations

import msgspec
from aiohttp import web

from tealcove.standins import answers, backend_settings, engine_batch

DONE = b"data: [DONE]\n\n"
OTHER_PROMPT = "someone else's prompt"
# The first event of an answer at which the faults of single events strike.
FAULTY_EVENT = 1


class Chunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tokens from `index` on; `count` of them, where it isn't one."""

    id: str
    index: int
    text: str
    count: int = 1


class Usage(msgspec.Struct, frozen=True):
    """Tokens that a request took."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class Final(msgspec.Struct, frozen=True):
    """The last event; `index` is the number of tokens."""

    id: str
    index: int
    finish: str
    usage: Usage


class StreamFaults(msgspec.Struct, frozen=True):
    """Which faults strike one answer."""

    wrong_id: bool = False
    wrong_event_id: bool = False
    duplicate: bool = False
    reorder: bool = False
    drop: bool = False
    cut_after: int | None = None

    @property
    def affects_event(self) -> bool:
        """Whether a single event is to be spoilt."""
        return self.duplicate or self.reorder or self.drop


def event(value: msgspec.Struct) -> bytes:
    """Return one server-sent event."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


class CutError(Exception):
    """The connection is to be broken without a word."""


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
        # An event that waits for its successor, to be sent after it.
        self.held_back = b""
        other = faults.wrong_id or faults.wrong_event_id
        self.id = backend_settings.OTHER_ID if other else run.request_id
        self.key = answers.answer_key(OTHER_PROMPT) if other else run.key

    async def write(self) -> None:
        """Write all events up to the last one; raises CutError.

        A run that was cancelled has no last event, so its connection is broken:
        no client may take what was sent of it for the whole answer.
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
        """Write the tokens that are there, as one event."""
        stop = self.run.produced
        if self.sent_events <= FAULTY_EVENT and self.faults.affects_event:
            # A slow machine makes larger events: there has to be a second one.
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
        """Return what is written in place of the spoilt event."""
        if self.faults.drop:
            return b""
        if self.faults.reorder:
            self.held_back = content
            return b""
        if self.faults.duplicate:
            return content * 2
        return content

    async def write_last(self) -> None:
        """Write the last event and the mark of the end."""
        usage = Usage(
            self.run.prompt_tokens, self.run.cached_tokens, self.run.max_tokens
        )
        final = event(Final(self.id, self.run.max_tokens, "stop", usage))
        await self.response.write(final + self.held_back + DONE)
