"""The base class of all messages between instances, and their codec."""

from __future__ import annotations

import msgspec

from tealcove import errors


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True):
    """A message between two instances; each travels one way.

    Fields go by position, which halves a heartbeat. A new field has to come last
    and have a default, so that instances of neighbouring versions understand each
    other.
    """


class Codec:
    """Encodes and decodes the messages of the slices that registered."""

    def __init__(self) -> None:
        self.types: list[type[Message]] = []
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: msgspec.msgpack.Decoder | None = None

    def register(self, message_type: type[Message]) -> None:
        """Make a type of message known; forgets a decoder made before."""
        self.types.append(message_type)
        self.decoder = None

    def encode(self, message: Message) -> bytes:
        """Return the bytes of a message (MessagePack)."""
        return self.encoder.encode(message)

    def decode(self, content: bytes) -> Message:
        """Return the message; raises PeerError for bytes of no known one."""
        if self.decoder is None:
            union = self.types[0]
            for message_type in self.types[1:]:
                union = union | message_type
            self.decoder = msgspec.msgpack.Decoder(union)
        try:
            return self.decoder.decode(content)
        except msgspec.MsgspecError as error:
            raise errors.PeerError(
                f"A peer sent a message that can't be read: {error}",
                "Run the same version on all instances, or one next to it.",
            ) from error
