"""Server-sent events, cut out of the parts in which a stream arrives."""

from __future__ import annotations

from tealcove.backends import engine

DATA_PREFIX = b"data:"
# Bytes of a line at the most; a stream without line ends would fill the memory.
MAX_LINE_BYTES = 1 << 20


class Events:
    """The events of one stream, of which each has its data in one line."""

    def __init__(self) -> None:
        # The start of a line whose end hasn't come yet.
        self.remainder = b""

    def feed(self, part: bytes) -> list[bytes]:
        """Return the data of the events that a part completes.

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
