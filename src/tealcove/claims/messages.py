"""Messages between an entry and the writers of claims."""

from __future__ import annotations

import enum

from tealcove.peers import message


class RowChange(message.Message):
    """A conditional change of one row; `change_id` makes a repeat harmless."""

    change_id: str
    key: str
    # The version that the row must have; None: there must be no row.
    expected: int | None
    # None: delete the row.
    value: bytes | None


class Verdict(enum.Enum):
    """What became of a change."""

    COMMITTED = "committed"
    # Another row stands there.
    CONFLICT = "conflict"
    # The platform took nothing of it from this writer.
    REFUSED = "refused"
    # It may have been applied, or may still be.
    UNSETTLED = "unsettled"


class RowVerdict(message.Message):
    """The writer's answer; the row as it stands now, where it's known."""

    change_id: str
    key: str
    verdict: Verdict
    version: int = 0
    value: bytes | None = None
