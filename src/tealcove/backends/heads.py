"""Checks the heads of servers' answers, whichever parser of aiohttp reads them."""

from __future__ import annotations

import re

import aiohttp
import multidict
from aiohttp import hdrs

# Bytes of a head that are quoted in an error.
MAX_QUOTED_BYTES = 80
HTTP_SWITCHING_PROTOCOLS = 101
HTTP_OK = 200
LINE_BREAKS = re.compile(rb"(?:\r?\n)*")
END = re.compile(rb"\n\r?\n")
# A blank behind it would belong to the name of the first field.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\n]*)?\r?\n(?![ \t])")
# A line that begins neither with the name of a field nor with a blank, by which it
# continues the line before.
MALFORMED_FIELD = re.compile(rb"\n(?![-!#$%&'*+.^_`|~0-9A-Za-z]+:|[ \t])([^:\n]*)")
# Bytes that may stand neither in a status line nor in a field.
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)")
# The only coding of a transfer that a server may use without being asked.
CHUNKED = "chunked"


class HeadError(aiohttp.ClientError):
    """A head that HTTP/1.1 doesn't allow; readers treat it as a broken connection."""


class Heads:
    """The interim and final heads that are received in answer to one request."""

    def __init__(self) -> None:
        self.received = bytearray()
        # Where the next head begins in them.
        self.position = 0
        self.is_final = False

    def feed(self, data: bytes) -> None:
        """Add received bytes, before a parser reads them."""
        if not self.is_final:
            self.received += data

    def check(self, status: int, fields: multidict.CIMultiDictProxy[str]) -> None:
        """Check the next head, which was parsed to these; raises HeadError.

        The bytes are checked, as a parser doesn't tell what it has tolerated.
        """
        if self.is_final:
            return
        begin = LINE_BREAKS.match(self.received, self.position).end()
        end = END.search(self.received, begin)
        if end is None:
            raise HeadError("the head has no end")
        self.is_final = status >= HTTP_OK or status == HTTP_SWITCHING_PROTOCOLS
        self.position = end.end()
        check_lines(self.received, begin, end)
        if status == HTTP_SWITCHING_PROTOCOLS:
            raise HeadError("the server switches to a protocol that wasn't asked for")
        check_framing(fields)
        if self.is_final:
            self.received.clear()


def check_lines(received: bytearray, begin: int, end: re.Match[bytes]) -> None:
    """Check the lines of a head that begins and ends there; raises HeadError."""
    if not STATUS_LINE.match(received, begin):
        line = received[begin : end.start()].partition(b"\n")[0]
        raise HeadError(f"the status line is {quote(line)}")
    field = MALFORMED_FIELD.search(received, begin, end.start())
    if field is not None:
        raise HeadError(f"the name of a field is malformed: {quote(field[1])}")
    control = CONTROL_BYTE.search(received, begin, end.end())
    if control is not None:
        raise HeadError(f"the head has the control byte 0x{control[0].hex()}")


def check_framing(fields: multidict.CIMultiDictProxy[str]) -> None:
    """Check the fields that tell where a body ends; raises HeadError."""
    codings = fields.getall(hdrs.TRANSFER_ENCODING, ())
    if codings and [coding.lower() for coding in codings] != [CHUNKED]:
        raise HeadError(f"the coding of the body is {', '.join(codings)!r}")
    if len(fields.getall(hdrs.CONTENT_LENGTH, ())) > 1:
        raise HeadError("the body has more than one length")


def quote(content: bytes) -> str:
    """Return the beginning of a line for an error."""
    return repr(bytes(content[:MAX_QUOTED_BYTES]))
