"""Splits a byte stream into server-sent events and checks their order."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator

import msgspec

# Maximum bytes of an event; one that doesn't end would exhaust the memory.
MAX_EVENT_BYTES = 2**20
# Bytes that are split at once; they may hold thousands of events.
PIECE_BYTES = 16 * 2**10
# An empty line terminates an event.
END = re.compile(rb"\r?\n\r?\n")
END_BYTES = 4
NUMBER = re.compile(rb"^id: ?(\d{1,18})\r?$", re.MULTILINE)


class Event(msgspec.Struct, frozen=True):
    """A complete event: its bytes, and its number if it has one."""

    content: bytes
    number: int | None


class Splitter:
    """Splits byte chunks of any size into complete events."""

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, part: bytes) -> list[Event]:
        """Append a chunk and return the events that it completes."""
        content = self.remainder + part
        found = []
        start = 0
        # What was there before has no end, except for a part of one.
        for end in END.finditer(content, max(0, len(self.remainder) - END_BYTES + 1)):
            event = content[start : end.end()]
            start = end.end()
            number = NUMBER.search(event)
            found.append(Event(event, None if number is None else int(number[1])))
        self.remainder = content[start:]
        return found


async def pieces(parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield parts in short pieces; other tasks have their turn between two of them."""
    async for part in parts:
        for start in range(0, len(part), PIECE_BYTES):
            if start:
                await asyncio.sleep(0)
            yield part[start : start + PIECE_BYTES]


class OrderChecker:
    """Checks that events are forwarded exactly once and without a gap.

    Otherwise a server that resumes a stream at a wrong position would duplicate or
    omit events in a response that looks complete.
    """

    def __init__(self, last: int | None) -> None:
        # Number of the last event that the caller received; None if there is none.
        self.last = last
        # Whether all events had a number, so that `last` tells what the caller has.
        self.is_numbered = True

    def accept(self, event: Event) -> bool:
        """Return whether an event is the next one, and record it if so."""
        if event.number is None:
            self.is_numbered = False
        if event.number is None or self.last is None:
            self.last = event.number if event.number is not None else self.last
            return True
        if event.number != self.last + 1:
            return False
        self.last = event.number
        return True
