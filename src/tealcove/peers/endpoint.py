"""Where an instance listens for its peers."""

from __future__ import annotations

import msgspec

from tealcove import errors


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
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise errors.PeerError(f"{text!r} is no address of a peer", 'Write "ip:port".')
    return Endpoint(host=host, port=int(port))
