"""The events of a stream, cut out of the bytes in which they arrive."""

from __future__ import annotations

import re

import msgspec

# An event ends with an empty line.
END = re.compile(rb"\r?\n\r?\n")
NUMBER = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class Event(msgspec.Struct, frozen=True):
    """One whole event: its bytes, and its number if it has one."""

    content: bytes
    number: int | None


class Splitter:
    """Takes bytes in pieces of any size, gives whole events."""

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, part: bytes) -> list[Event]:
        """Return the events that are whole by now."""
        content = self.remainder + part
        found = []
        start = 0
        for end in END.finditer(content):
            event = content[start : end.end()]
            start = end.end()
            number = NUMBER.search(event)
            found.append(Event(event, None if number is None else int(number[1])))
        self.remainder = content[start:]
        return found


class OrderChecker:
    """Checks that events are passed on once each and without a gap.

    A server that resumes a stream from a wrong place would otherwise give its
    caller a part twice, or leave one out, in an answer that looks whole.
    """

    def __init__(self, last: int | None) -> None:
        # The number of the last event that the caller has; absent: none has come.
        self.last = last

    def accept(self, event: Event) -> bool:
        """Tell whether an event is the next one, and count it if so."""
        if event.number is None or self.last is None:
            self.last = event.number if event.number is not None else self.last
            return True
        if event.number != self.last + 1:
            return False
        self.last = event.number
        return True
