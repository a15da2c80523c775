"""Splits a byte stream into server-sent events and checks their order."""

from __future__ import annotations

import re

import msgspec

# An empty line terminates an event.
END = re.compile(rb"\r?\n\r?\n")
NUMBER = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


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
        for end in END.finditer(content):
            event = content[start : end.end()]
            start = end.end()
            number = NUMBER.search(event)
            found.append(Event(event, None if number is None else int(number[1])))
        self.remainder = content[start:]
        return found


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
