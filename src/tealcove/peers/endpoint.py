"""Where an instance listens for its peers."""

from __future__ import annotations

import msgspec

from tealcove import count, errors


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """An IP number and a TCP port."""

    host: str
    port: int

    def url(self) -> str:
        """Return the address as ZeroMQ writes it."""
        return f"tcp://{self.host}:{self.port}"

    def __str__(self) -> str:
        """Return `host:port`, as settings write it."""
        return f"{self.host}:{self.port}"


def parse(text: str) -> Endpoint:
    """Read `host:port`; raises PeerError when the port is no number."""
    host, _, number = text.rpartition(":")
    port = count.read(number)
    if not host or port is None:
        raise errors.PeerError(f"{text!r} is no address of a peer", 'Write "ip:port".')
    return Endpoint(host=host, port=port)
