"""Messages by which instances pass on what is declared."""

from __future__ import annotations

import enum

from tealcove import ids
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
    content: bytes
