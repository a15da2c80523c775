"""Runs one instance: `python -m tealcove.front --settings FILE`.

Does the same as `tealcove front` without importing the command line: after all
instances were killed at once, callers wait for these imports.
"""

from __future__ import annotations

import gc
import os
import signal
import sys

# Until its handler is installed, the signal would end the process. What it announces
# isn't missed: the settings are read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The objects that imports create live until the process ends; garbage collections
# during the imports would take a tenth of the start time.
gc.disable()

from tealcove.front import archive  # noqa: E402

FOLDER = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
archive.install(FOLDER)

# Importing aiohttp creates a TLS context that loads all certificates of the machine,
# although an instance doesn't use TLS. During the import, OpenSSL is pointed to an
# empty file.
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

# Thresholds of the garbage collector's three generations. With Python's default
# (700, 10, 10), a busy instance runs several hundred collections a second that free
# almost nothing: the objects of a request are freed by reference counting.
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
    # Excludes the imported objects from all later collections: a full collection
    # blocks every request while it runs.
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
