"""Tracks since when callers haven't read what is sent to them."""

from __future__ import annotations

import typing
from collections.abc import Mapping

import msgspec

from tealcove import ids

Key = typing.TypeVar("Key")


class Transport(typing.Protocol):
    """The connection to a caller; see asyncio.WriteTransport."""

    def get_write_buffer_size(self) -> int:
        """Return the bytes that wait to be sent."""

    def abort(self) -> None:
        """Close the connection at once."""


class Unread(msgspec.Struct):
    """The unsent bytes of a connection, and since when they haven't decreased."""

    size: int
    since: ids.Instant


def track(
    before: Mapping[Key, Unread], transports: Mapping[Key, Transport], now: ids.Instant
) -> dict[Key, Unread]:
    """Return the connections with unsent bytes; `before` is the last result.

    The buffer of a caller that reads, however slowly, shrinks now and then, since above
    the high-water mark nothing is added until it has shrunk.
    """
    found = {}
    for key, transport in transports.items():
        size = transport.get_write_buffer_size()
        if size == 0:
            continue
        known = before.get(key)
        if known is None or size < known.size:
            known = Unread(size, now)
        known.size = size
        found[key] = known
    return found
