"""A mesh for tests that only records what is sent."""

from __future__ import annotations

from tealcove.peers import endpoint, message


class Sent:
    """A message and its receiver's port."""

    def __init__(self, port: int, content: message.Message) -> None:
        self.port = port
        self.content = content


class RecordingMesh:
    """Replaces `mesh.Mesh`; nothing leaves the process."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []

    def handle(self, message_type: type[message.Message], handler: object) -> None:
        """Ignore handlers: tests call them themselves."""

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        """Record a message."""
        self.sent.append(Sent(peer.port, sent))
        return True

    def to(self, port: int, message_type: type[message.Message]) -> list[Sent]:
        """Return the messages of a type that went to a port."""
        return [
            sent
            for sent in self.sent
            if sent.port == port and isinstance(sent.content, message_type)
        ]
