"""Messages between instances about quarantine marks."""

from __future__ import annotations

from tealcove.peers import message
from tealcove.quarantine import marks


class MarksChanged(message.Message):
    """Marks of the sender, sent on a change and to peers whose marks differ."""

    marks: tuple[marks.SharedMark, ...]
