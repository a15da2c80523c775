"""Exit codes, and which error leads to which."""

from __future__ import annotations

import enum
import sys

from tealcove import connection, errors


class Code(enum.IntEnum):
    """What the exit code of `tealcove` tells a script."""

    OK = 0
    FAILED = 1
    USAGE = 2
    # Somebody else changed the resource meanwhile; read it and decide anew.
    CONFLICT = 3
    # No instance could be reached, or none would take the call; nothing was done.
    UNAVAILABLE = 4
    # What was waited for didn't happen in time.
    TIMEOUT = 5


BY_ERROR: tuple[tuple[type[errors.TealcoveError], Code], ...] = (
    (connection.ConflictError, Code.CONFLICT),
    (connection.UnavailableError, Code.UNAVAILABLE),
    (connection.TimedOutError, Code.TIMEOUT),
    (errors.PlatformUnavailableError, Code.UNAVAILABLE),
)


def report(error: errors.TealcoveError) -> Code:
    """Write an error as one line to standard error; return its exit code."""
    print(f"tealcove: {error}", file=sys.stderr)
    return code_for(error)


def code_for(error: errors.TealcoveError) -> Code:
    """Return the exit code for an error; the first type that fits decides."""
    for kind, code in BY_ERROR:
        if isinstance(error, kind):
            return code
    return Code.FAILED
