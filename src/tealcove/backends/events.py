"""Parses server-sent events from the chunks of a stream."""

from __future__ import annotations

from tealcove.backends import engine

DATA_PREFIX = b"data:"
# Maximum bytes of a line; a stream without line ends would exhaust the memory.
MAX_LINE_BYTES = 1 << 20


class Events:
    """Parses one stream in which each event's data is a single line."""

    def __init__(self) -> None:
        # The start of a line whose end hasn't been received.
        self.remainder = b""

    def feed(self, part: bytes) -> list[bytes]:
        """Append a chunk and return the data of the events that it completes.

        Raises BrokenStreamError when a line is too long.
        """
        lines = (self.remainder + part).split(b"\n")
        self.remainder = lines.pop()
        if len(self.remainder) > MAX_LINE_BYTES:
            raise engine.BrokenStreamError(
                f"An engine sent a line of more than {MAX_LINE_BYTES} bytes",
                "Compare the engine with docs/BACKENDS.md.",
            )
        prefix = len(DATA_PREFIX)
        return [line[prefix:].strip() for line in lines if line.startswith(DATA_PREFIX)]
