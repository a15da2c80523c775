"""Messages about the software versions at which streams began."""

from __future__ import annotations

import hashlib

import msgspec

from tealcove import ids
from tealcove.peers import message

DIGEST_BYTES = 12


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """The version at which a stream began."""

    # See digest().
    stream: bytes
    version: ids.SoftwareVersion


class OriginReport(message.Message):
    """Streams that began at an entry, for the homes of their service."""

    service: ids.PoolId
    origins: tuple[Origin, ...]


class OriginQuestion(message.Message):
    """Asks a home at which version a stream began."""

    number: int
    service: ids.PoolId
    stream: bytes


class OriginAnswer(message.Message):
    """A home's answer."""

    number: int
    # None: not known.
    version: ids.SoftwareVersion | None
    # The seconds since each version that is known was last listed; 0: it serves.
    served: dict[ids.SoftwareVersion, float]
    # Whether the home has known all servers for so long.
    is_complete: bool


def digest(request: ids.RequestId) -> bytes:
    """Return a digest of the request that brought a stream's first event.

    Callers choose their ids, so that these may be long.
    """
    return hashlib.blake2b(request.encode(), digest_size=DIGEST_BYTES).digest()
