"""Parses server-sent events from the chunks of a stream."""

from __future__ import annotations

from tealcove.backends import engine

DATA_PREFIX = b"data:"
# Maximum bytes from one event to the next: a line that doesn't end would exhaust the
# memory, and lines without data would keep the caller waiting for ever.
MAX_LINE_BYTES = 1 << 20


class Events:
    """Parses one stream in which each event's data is a single line."""

    def __init__(self) -> None:
        # The start of a line whose end hasn't been received.
        self.remainder = b""
        # Bytes since the last event.
        self.skipped = 0

    def feed(self, part: bytes) -> list[bytes]:
        """Append a chunk and return the data of the events that it completes.

        Raises BrokenStreamError when too much comes without an event.
        """
        lines = (self.remainder + part).split(b"\n")
        self.remainder = lines.pop()
        prefix = len(DATA_PREFIX)
        found = [
            line[prefix:].strip() for line in lines if line.startswith(DATA_PREFIX)
        ]
        self.skipped = len(self.remainder) if found else self.skipped + len(part)
        if self.skipped > MAX_LINE_BYTES:
            raise engine.BrokenStreamError(
                f"An engine sent more than {MAX_LINE_BYTES} bytes without an event",
                "Compare the engine with docs/BACKENDS.md.",
            )
        return found
