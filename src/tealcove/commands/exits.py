"""Exit codes and the errors that lead to them."""

from __future__ import annotations

import enum
import sys

from tealcove import connection, errors


class Code(enum.IntEnum):
    """Exit codes of `tealcove`."""

    OK = 0
    FAILED = 1
    USAGE = 2
    # Somebody else changed the resource meanwhile; read it again before a retry.
    CONFLICT = 3
    # No instance could be reached, or none accepted the call; nothing was done.
    UNAVAILABLE = 4
    # An awaited event didn't happen in time.
    TIMEOUT = 5


ERROR_CODES: tuple[tuple[type[errors.TealcoveError], Code], ...] = (
    (connection.ConflictError, Code.CONFLICT),
    (connection.UnavailableError, Code.UNAVAILABLE),
    (connection.TimedOutError, Code.TIMEOUT),
    (errors.PlatformUnavailableError, Code.UNAVAILABLE),
)


def report(error: errors.TealcoveError) -> Code:
    """Print an error as one line to standard error; return its exit code."""
    print(f"tealcove: {error}", file=sys.stderr)
    return code_for(error)


def code_for(error: errors.TealcoveError) -> Code:
    """Return the exit code of the first matching type of error."""
    for kind, code in ERROR_CODES:
        if isinstance(error, kind):
            return code
    return Code.FAILED
