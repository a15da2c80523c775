"""A bound on log lines: never more than the budget, and never a wait for a reader."""

from __future__ import annotations

import enum
import os

# Bytes that wait for a slow reader; what comes beyond is dropped.
MAX_BUFFERED_BYTES = 256 * 1024


class Weight(enum.IntEnum):
    """How many times the budget all lines together may take when one is still written.

    An overload makes hundreds of lines a second, and the ones that tell why a request
    wasn't served are looked for afterwards: at 400 refusals a second, one in three was
    dropped among lines that repeat.
    """

    PLAIN = 1
    WARNING = 2
    # Says why a request ended badly.
    FINAL = 4


class LineLimit:
    """Counts lines by the second, and what had to be dropped."""

    def __init__(self, max_per_second: int) -> None:
        self.max_per_second = max_per_second
        self.second = 0
        self.used = 0
        self.dropped = 0

    def admits(self, weight: Weight, now: float) -> bool:
        """Tell whether a line may be written."""
        second = int(now)
        if second != self.second:
            self.second = second
            self.used = 0
        allowed = weight * self.max_per_second
        if self.used >= allowed:
            self.dropped += 1
            return False
        self.used += 1
        return True


class LineWriter:
    """Writes to a descriptor without ever waiting for it.

    A reader that stops reading would otherwise stop the whole instance at the next
    line; its peers would take it for dead, and its callers wait.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.buffer = b""

    def write(self, line: bytes) -> bool:
        """Write a line, or keep it for later; False: there's no room for it."""
        if len(self.buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.flush()
            if len(self.buffer) + len(line) > MAX_BUFFERED_BYTES:
                return False
        self.buffer += line
        self.flush()
        return True

    def flush(self) -> None:
        """Write what the reader takes now."""
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        self.buffer = self.buffer[written:]
