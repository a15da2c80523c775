"""Messages between an entry and the writers of claims."""

from __future__ import annotations

import enum

from tealcove.peers import message


class RowChange(message.Message):
    """A conditional change of one row; `change_id` makes retries idempotent."""

    change_id: str
    key: str
    # The version that the row must have; None: the row must not exist.
    expected: int | None
    # None: delete the row.
    value: bytes | None


class Verdict(enum.Enum):
    """The outcome of a change."""

    COMMITTED = "committed"
    # The row isn't in the expected state.
    CONFLICT = "conflict"
    # The platform applied nothing of it for this writer.
    REFUSED = "refused"
    # It may have been applied, or may still be applied.
    UNSETTLED = "unsettled"


class RowVerdict(message.Message):
    """The writer's answer, with the current version and value of the row if known."""

    change_id: str
    key: str
    verdict: Verdict
    version: int = 0
    value: bytes | None = None
