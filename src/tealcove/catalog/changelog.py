"""Changes of the list of backend servers, logged in one line per revision."""

from __future__ import annotations

# Changes listed in one log line; further ones are only counted.
MAX_LOGGED_CHANGES = 10


class ChangeLog:
    """Collects changes for one log line.

    With one line per server, the log's rate limit would drop lines of requests in the
    first seconds of a large group.
    """

    def __init__(self) -> None:
        self.changes: list[str] = []

    def add(self, change: str) -> None:
        """Add a change."""
        self.changes.append(change)

    def take(self) -> str | None:
        """Return the changes since the last call as text, or None."""
        changes, self.changes = self.changes, []
        if not changes:
            return None
        shown = "; ".join(changes[:MAX_LOGGED_CHANGES])
        more = len(changes) - MAX_LOGGED_CHANGES
        return f"{shown}; and {more} more changes" if more > 0 else shown
