"""A rate limit for log lines, and a writer that never blocks on a slow reader."""

from __future__ import annotations

import enum
import os

# Maximum number of bytes buffered for a slow reader; further lines are dropped.
MAX_BUFFERED_BYTES = 256 * 1024


class Weight(enum.IntEnum):
    """The multiple of the limit up to which lines of one kind are written.

    An overload produces hundreds of lines a second, and operators need those that say
    why a request wasn't served: at 400 refusals a second, a third of them were dropped
    in favour of repetitive lines.
    """

    PLAIN = 1
    WARNING = 2
    # Says why a request ended badly.
    FINAL = 4


class LineLimit:
    """Limits the lines written in each second and counts those dropped."""

    def __init__(self, max_per_second: int) -> None:
        self.max_per_second = max_per_second
        self.second = 0
        self.used = 0
        self.dropped = 0

    def admits(self, weight: Weight, now: float) -> bool:
        """Return whether a line may be written; count it as dropped otherwise."""
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
    """Writes to a file descriptor without blocking.

    Otherwise, a reader that stops reading would block the whole instance at the next
    line: its peers would consider it dead, and its callers would wait.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.buffer = b""

    def write(self, line: bytes) -> bool:
        """Write or buffer a line; return False if the buffer is full."""
        if len(self.buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.flush()
            if len(self.buffer) + len(line) > MAX_BUFFERED_BYTES:
                return False
        self.buffer += line
        self.flush()
        return True

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        self.buffer = self.buffer[written:]
