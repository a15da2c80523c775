"""The address at which an instance listens for its peers."""

from __future__ import annotations

import msgspec

from tealcove import count, errors


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """An IP address and a TCP port."""

    host: str
    port: int

    def url(self) -> str:
        """Return the address as ZeroMQ writes it."""
        return f"tcp://{self.host}:{self.port}"

    def __str__(self) -> str:
        """Return `host:port`, as settings write it."""
        return f"{self.host}:{self.port}"


def parse(text: str) -> Endpoint:
    """Parse `host:port`; raises PeerError if it is malformed."""
    host, _, number = text.rpartition(":")
    port = count.read(number)
    if not host or port is None:
        raise errors.PeerError(f"{text!r} is not a peer address", 'Write "ip:port".')
    return Endpoint(host=host, port=port)
