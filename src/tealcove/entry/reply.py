"""The response of a plain service: held whole, or read along when it's long."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator

from tealcove.backends import service
from tealcove.entry import problem

# A longer response isn't held whole: callers read along while it comes.
MAX_BUFFERED_BYTES = 1 << 20


class Reader:
    """How many parts one caller has taken."""

    def __init__(self, position: int) -> None:
        self.position = position


class Reply:
    """Parts in order; the service waits while the slowest caller is behind."""

    def __init__(self) -> None:
        self.head: service.Head | None = None
        self.parts: collections.deque[bytes] = collections.deque()
        # The number of the first part that is still held.
        self.first_index = 0
        self.buffered_bytes = 0
        self.is_long = False
        self.ended = False
        self.failure: Exception | None = None
        self.readers: set[Reader] = set()
        self.changed = asyncio.Event()

    def set_head(self, head: service.Head) -> None:
        """Take in the head."""
        self.head = head

    async def add(self, part: bytes) -> None:
        """Take in a part, once there is room for it."""
        self.parts.append(part)
        self.buffered_bytes += len(part)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.is_long = True
        self.notify()
        self.discard_read()
        while self.buffered_bytes > MAX_BUFFERED_BYTES:
            await self.changed.wait()

    def end(self, failure: Exception | None = None) -> None:
        """Say that nothing more will come, and why when it isn't whole."""
        if self.ended:
            return
        self.ended = True
        self.failure = failure
        self.notify()

    def notify(self) -> None:
        """Let those who wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def discard_read(self) -> None:
        """Let go of the parts of a long response that all callers have taken.

        With no caller left all of it goes, so that the call can run to its end.
        """
        if not self.is_long:
            return
        end = self.first_index + len(self.parts)
        keep_from = min((r.position for r in self.readers), default=end)
        while self.parts and self.first_index < keep_from:
            self.buffered_bytes -= len(self.parts.popleft())
            self.first_index += 1
        self.notify()

    async def wait(self) -> bool:
        """Wait for the end or a long body; tell whether it's here whole.

        Raises `failure` when the response ended badly before a caller got any.
        """
        while not self.ended and not self.is_long:
            await self.changed.wait()
        if self.is_long:
            return False
        if self.failure is not None:
            raise self.failure
        return True

    def body(self) -> bytes:
        """Return the whole body; only after `wait` returned True."""
        return b"".join(self.parts)

    async def read(self, reader: Reader) -> AsyncIterator[bytes]:
        """Yield the parts of a long body; raises `failure` at a bad end."""
        while True:
            while reader.position < self.first_index + len(self.parts):
                part = self.parts[reader.position - self.first_index]
                reader.position += 1
                self.discard_read()
                yield part
            if self.ended:
                break
            await self.changed.wait()
        if self.failure is not None:
            raise self.failure

    def add_reader(self) -> Reader:
        """Return a caller that reads from the first part on.

        Raises ProblemError when the first parts of a long body are gone.
        """
        if self.first_index > 0:
            raise problem.rejected(
                409,
                "The response to this key is being sent already",
                "Send again when it has ended, or with another key.",
            )
        reader = Reader(0)
        self.readers.add(reader)
        return reader

    def remove_reader(self, reader: Reader) -> None:
        """Forget a caller that left."""
        self.readers.discard(reader)
        self.discard_read()
