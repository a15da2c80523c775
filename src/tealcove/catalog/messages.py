"""Messages with which instances exchange the catalog."""

from __future__ import annotations

import enum

from tealcove import ids
from tealcove.catalog import position
from tealcove.membership import messages as membership_messages
from tealcove.peers import message


class Topic(enum.Enum):
    """The parts of the catalog that are exchanged."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"


class Ask(message.Message):
    """Requests a peer's copy of a topic, if it is newer than a revision."""

    topic: Topic
    since: ids.Revision
    # See position.Position.
    version: int = 0


class Told(message.Message):
    """A peer's whole copy of a topic at its revision; see catalog.copies."""

    topic: Topic
    revision: ids.Revision
    # See catalog.packing.
    content: bytes
    # See position.Position.
    version: int = 0


def position_in(
    heartbeat: membership_messages.Heartbeat, topic: Topic
) -> position.Position:
    """Return the position of a topic's copy that a heartbeat reports."""
    if topic is Topic.CONFIGURATION:
        return position.Position(heartbeat.revision, heartbeat.configuration_version)
    return position.Position(heartbeat.servers_revision)
