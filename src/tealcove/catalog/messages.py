"""Messages with which instances exchange the catalog."""

from __future__ import annotations

import enum

from tealcove import ids
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


class Told(message.Message):
    """A peer's whole copy of a topic at its revision; see catalog.copies."""

    topic: Topic
    revision: ids.Revision
    # See catalog.packing.
    content: bytes


def revision_in(heartbeat: membership_messages.Heartbeat, topic: Topic) -> ids.Revision:
    """Return the revision of a topic that a heartbeat reports."""
    if topic is Topic.CONFIGURATION:
        return heartbeat.revision
    return heartbeat.servers_revision
