"""Messages by which an instance fetches the configuration from a peer."""

from __future__ import annotations

from tealcove import ids
from tealcove.peers import message


class ConfigurationRequest(message.Message):
    """Asks a peer for its whole configuration."""

    sender: ids.InstanceId
    number: int


class ConfigurationReply(message.Message):
    """A peer's whole configuration, as `snapshots.encode` writes it."""

    number: int
    content: bytes
