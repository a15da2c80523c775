"""Messages between instances about requests that crash backend servers."""

from __future__ import annotations

from tealcove.peers import message
from tealcove.quarantine import marks, parts


class MarksChanged(message.Message):
    """Marks of the sender, sent on a change and to peers whose marks differ."""

    records: tuple[marks.SharedMark, ...]


class PartsChanged(message.Message):
    """The same for its records of parts."""

    records: tuple[parts.SharedPart, ...]
