"""Messages by which instances pass on what is declared."""

from __future__ import annotations

import enum

from tealcove import ids
from tealcove.membership import messages as membership_messages
from tealcove.peers import message


class Topic(enum.Enum):
    """What is passed on."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"


class Ask(message.Message):
    """Asks a peer for what it has, if that is newer than a revision."""

    topic: Topic
    since: ids.Revision


class Told(message.Message):
    """All that a peer has of a topic, at its revision; see catalog.copies."""

    topic: Topic
    revision: ids.Revision
    # See catalog.packing.
    content: bytes


def revision_in(heartbeat: membership_messages.Heartbeat, topic: Topic) -> ids.Revision:
    """Return the revision of a topic that an instance says it has."""
    if topic is Topic.CONFIGURATION:
        return heartbeat.revision
    return heartbeat.servers_revision
