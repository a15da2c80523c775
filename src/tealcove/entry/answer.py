"""The answer of an engine, assembled from chunks that arrive in any order."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from tealcove.backends import engine

# Largest number of chunks that arrived early and wait for those before them.
MAX_EARLY_CHUNKS = 256


class GapError(Exception):
    """The stream can't be reordered; it must be resumed at `next_index`."""


class Answer:
    """Chunks in order; any number of callers read them while more arrive."""

    def __init__(self) -> None:
        self.chunks: list[engine.Chunk] = []
        self.next_index = 0
        self.early_chunks: dict[int, engine.Chunk] = {}
        self.usage: engine.Usage | None = None
        self.finish: str | None = None
        self.ended = False
        self.failure: Exception | None = None
        # Set on new chunks and at the end; each reader clears it before it waits.
        self.changed = asyncio.Event()
        # A separate event, so that chunks don't wake those who wait for the end.
        self.finished = asyncio.Event()

    def add(self, chunk: engine.Chunk) -> None:
        """Add a chunk; drop a repeated one, and buffer an early one.

        Raises GapError when a chunk overlaps earlier ones, or too many are early.
        """
        if chunk.finish is None and chunk.index + chunk.count <= self.next_index:
            return
        if chunk.index < self.next_index:
            raise GapError
        self.early_chunks[chunk.index] = chunk
        if len(self.early_chunks) > MAX_EARLY_CHUNKS:
            raise GapError
        while not self.is_complete and self.next_index in self.early_chunks:
            self.append(self.early_chunks.pop(self.next_index))

    def append(self, chunk: engine.Chunk) -> None:
        """Append the next chunk in order."""
        if chunk.finish is not None:
            self.finish = chunk.finish
            self.usage = chunk.usage
        else:
            self.chunks.append(chunk)
            self.next_index += chunk.count
        self.changed.set()

    @property
    def is_complete(self) -> bool:
        """Whether the closing event and all tokens before it have arrived."""
        return self.finish is not None

    def text(self) -> str:
        """Return the whole text."""
        return "".join(chunk.text for chunk in self.chunks)

    def end(self, failure: Exception | None = None) -> None:
        """End the answer; `failure` is the reason if it's incomplete."""
        if self.ended:
            return
        self.ended = True
        self.failure = failure
        self.changed.set()
        self.finished.set()

    async def read(self) -> AsyncIterator[list[engine.Chunk]]:
        """Yield new chunks in lists until the end; raises `failure`."""
        position = 0
        while True:
            while position < len(self.chunks):
                found = self.chunks[position:]
                position = len(self.chunks)
                yield found
            if self.ended:
                break
            self.changed.clear()
            await self.changed.wait()
        if self.failure is not None:
            raise self.failure

    async def wait(self) -> None:
        """Wait for the end; raises `failure` if there is one."""
        await self.finished.wait()
        if self.failure is not None:
            raise self.failure
