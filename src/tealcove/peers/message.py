"""The base class of all messages between instances, and their codec."""

from __future__ import annotations

import msgspec

from tealcove import decoding, errors


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True):
    """A one-way message between two instances.

    Fields are encoded by position, which halves the size of a heartbeat. A new field
    must come last and have a default, so that neighbouring versions stay compatible.
    """


class Codec:
    """Encodes and decodes the registered message types."""

    def __init__(self) -> None:
        self.types: list[type[Message]] = []
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: decoding.Decoder | None = None

    def register(self, message_type: type[Message]) -> None:
        """Register a message type; the decoder is rebuilt on the next use."""
        self.types.append(message_type)
        self.decoder = None

    def encode(self, message: Message) -> bytes:
        """Return the bytes of a message (MessagePack)."""
        return self.encoder.encode(message)

    def decode(self, content: bytes) -> Message:
        """Return the message; raises PeerError if the bytes cannot be decoded."""
        if self.decoder is None:
            union = self.types[0]
            for message_type in self.types[1:]:
                union = union | message_type
            self.decoder = decoding.Decoder(msgspec.msgpack.Decoder(union))
        try:
            return self.decoder.decode(content)
        except msgspec.MsgspecError as error:
            raise errors.PeerError(
                f"Cannot decode a message from a peer: {error}",
                "Run the same version on all instances, or one next to it.",
            ) from error
