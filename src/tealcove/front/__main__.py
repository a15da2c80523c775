"""Runs one instance: `python -m tealcove.front --settings FILE`.

The same as `tealcove front`, without the command line's parts: callers wait for their
import when all instances have ended at once.
"""

from __future__ import annotations

import gc
import os
import sys

# All that the imports make stays to the end; looking through it for garbage again and
# again would be a tenth of the start.
gc.disable()

from tealcove.front import archive  # noqa: E402

FOLDER = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
archive.install(FOLDER)

# Importing the HTTP library makes a TLS context with all certificates of the machine,
# although an instance speaks no TLS. While it's imported, OpenSSL is shown a file
# without any.
CERTIFICATES = "SSL_CERT_FILE"
certificates = os.environ.get(CERTIFICATES)
os.environ[CERTIFICATES] = os.devnull

import asyncio  # noqa: E402

from tealcove import errors  # noqa: E402
from tealcove.commands import exits  # noqa: E402
from tealcove.front import daemon  # noqa: E402

if certificates is None:
    del os.environ[CERTIFICATES]
else:
    os.environ[CERTIFICATES] = certificates

# Objects made, and looks taken, between two looks for garbage of each age. By Python's
# own (700, 10, 10) an instance at work looks several hundred times a second, and finds
# next to nothing: what a request leaves behind goes with its last reference.
GARBAGE_THRESHOLDS = (20_000, 20, 20)

USAGE = "usage: python -m tealcove.front --settings FILE"


def main(arguments: list[str]) -> exits.Code:
    """Run an instance until a signal ends it; return the exit code."""
    match arguments:
        case ["--settings", path]:
            pass
        case _:
            print(USAGE, file=sys.stderr)
            return exits.Code.USAGE
    # Objects of the imports are left out of all later looks for garbage, too: every
    # caller waits for as long as a whole one takes.
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)
    gc.enable()
    try:
        asyncio.run(daemon.serve(path))
    except errors.TealcoveError as error:
        return exits.report(error)
    except KeyboardInterrupt:
        return exits.Code.FAILED
    return exits.Code.OK


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]).value)
