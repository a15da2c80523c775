"""The response of a plain service: buffered whole, or streamed if it's long."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator

from tealcove.backends import service
from tealcove.entry import problem

# A longer response isn't buffered whole: callers read it while it arrives.
MAX_BUFFERED_BYTES = 1 << 20


class Reader:
    """The position of one caller: how many parts it has read."""

    def __init__(self, position: int) -> None:
        self.position = position


class Reply:
    """Parts in order; the service is slowed down to its slowest caller."""

    def __init__(self) -> None:
        self.head: service.Head | None = None
        self.parts: collections.deque[bytes] = collections.deque()
        # The index of the first part that is still buffered.
        self.first_index = 0
        self.buffered_bytes = 0
        self.is_long = False
        self.ended = False
        self.failure: Exception | None = None
        self.readers: set[Reader] = set()
        self.changed = asyncio.Event()

    def set_head(self, head: service.Head) -> None:
        """Store the response head."""
        self.head = head

    async def add(self, part: bytes) -> None:
        """Add a part, then wait until the buffer is within its limit."""
        self.parts.append(part)
        self.buffered_bytes += len(part)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.is_long = True
        self.notify()
        self.discard_read()
        while self.buffered_bytes > MAX_BUFFERED_BYTES:
            await self.changed.wait()

    def end(self, failure: Exception | None = None) -> None:
        """End the response; `failure` is the reason if it's incomplete."""
        if self.ended:
            return
        self.ended = True
        self.failure = failure
        self.notify()

    def notify(self) -> None:
        """Wake all waiting tasks to check the state again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def discard_read(self) -> None:
        """Discard the parts of a long response that all callers have read.

        Without any caller all parts are discarded, so that the call can complete.
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
        """Wait for the end or a long body; tell whether the whole is buffered.

        Raises `failure` if the response failed while it was short.
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
        """Yield the parts of a long body; raises `failure` if there is one."""
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
        """Add a caller that reads from the first part on.

        Raises ProblemError if parts of a long body were already discarded.
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
        """Remove a caller that has finished or disconnected."""
        self.readers.discard(reader)
        self.discard_read()
