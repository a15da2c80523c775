"""Server-sent events, cut out of the parts in which a stream arrives."""

from __future__ import annotations

from tealcove.backends import engine

DATA_PREFIX = b"data:"
# Bytes of a line at the most; a stream without line ends would fill the memory.
LARGEST_LINE = 1 << 20


class Events:
    """The events of one stream, of which each has its data in one line."""

    def __init__(self) -> None:
        # The start of a line whose end hasn't come yet.
        self.rest = b""

    def take(self, part: bytes) -> list[bytes]:
        """Return the data of the events that a part completes.

        Raises BrokenStreamError when a line is too long.
        """
        lines = (self.rest + part).split(b"\n")
        self.rest = lines.pop()
        if len(self.rest) > LARGEST_LINE:
            raise engine.BrokenStreamError(
                f"An engine sent a line of more than {LARGEST_LINE} bytes",
                "Compare the engine with docs/BACKENDS.md.",
            )
        prefix = len(DATA_PREFIX)
        return [line[prefix:].strip() for line in lines if line.startswith(DATA_PREFIX)]
