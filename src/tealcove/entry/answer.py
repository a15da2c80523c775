"""The answer of an engine, put together from chunks in any order."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from tealcove.backends import engine

# Chunks that came early and wait for those before them, at the most.
MAX_EARLY_CHUNKS = 256


class GapError(Exception):
    """The stream can't be put in order any more; resume at `next_index`."""


class Answer:
    """Chunks in order; callers read along from any index while it grows."""

    def __init__(self) -> None:
        self.chunks: list[engine.Chunk] = []
        self.next_index = 0
        self.early: dict[int, engine.Chunk] = {}
        self.usage: engine.Usage | None = None
        self.finish: str | None = None
        self.ended = False
        self.failure: Exception | None = None
        # Set when there is something to read; each reader clears it before it waits.
        self.changed = asyncio.Event()
        # Apart from it: who waits for the whole isn't woken by each chunk.
        self.finished = asyncio.Event()

    def add(self, chunk: engine.Chunk) -> None:
        """Take in a chunk; a repeated one is dropped, an early one kept back.

        Raises GapError when a chunk overlaps what is there, or too many are early.
        """
        if chunk.finish is None and chunk.index + chunk.count <= self.next_index:
            return
        if chunk.index < self.next_index:
            raise GapError
        self.early[chunk.index] = chunk
        if len(self.early) > MAX_EARLY_CHUNKS:
            raise GapError
        while not self.is_whole and self.next_index in self.early:
            self.append(self.early.pop(self.next_index))

    def append(self, chunk: engine.Chunk) -> None:
        """Add the chunk that comes next."""
        if chunk.finish is not None:
            self.finish = chunk.finish
            self.usage = chunk.usage
        else:
            self.chunks.append(chunk)
            self.next_index += chunk.count
        self.changed.set()

    @property
    def is_whole(self) -> bool:
        """Tell whether the closing event came, and all tokens before it."""
        return self.finish is not None

    def text(self) -> str:
        """Return the whole text."""
        return "".join(chunk.text for chunk in self.chunks)

    def end(self, failure: Exception | None = None) -> None:
        """Say that nothing more will come, and why when it isn't whole."""
        if self.ended:
            return
        self.ended = True
        self.failure = failure
        self.changed.set()
        self.finished.set()

    async def read(self) -> AsyncIterator[list[engine.Chunk]]:
        """Yield all chunks that are new, again and again; raises `failure`."""
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
        """Wait for the end; raises `failure` at a bad one."""
        await self.finished.wait()
        if self.failure is not None:
            raise self.failure
