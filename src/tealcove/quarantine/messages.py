"""Messages of the quarantine between instances."""

from __future__ import annotations

from tealcove.peers import message
from tealcove.quarantine import marks


class MarksChanged(message.Message):
    """Marks that the sender knows; sent on a change and to whoever differs."""

    marks: tuple[marks.SharedMark, ...]
