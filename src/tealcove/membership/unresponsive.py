"""Instances that recently left a request unanswered."""

from __future__ import annotations

from tealcove import ids


class UnresponsivePeers:
    """Keeps unresponsive instances until they respond or a time has passed."""

    def __init__(self, seconds: float) -> None:
        # For how long an instance counts as unresponsive after a timeout.
        self.seconds = seconds
        self.since: dict[ids.InstanceId, ids.Instant] = {}

    def note_timeout(self, instance: ids.InstanceId, now: ids.Instant) -> None:
        """Record that an instance left a request unanswered."""
        self.since = {
            name: since
            for name, since in self.since.items()
            if self.is_recent(since, now)
        }
        self.since[instance] = now

    def note_response(self, instance: ids.InstanceId) -> None:
        """Record a message from an instance."""
        self.since.pop(instance, None)

    def is_unresponsive(self, instance: ids.InstanceId, now: ids.Instant) -> bool:
        """Return whether an instance recently left a request unanswered."""
        since = self.since.get(instance)
        return since is not None and self.is_recent(since, now)

    def is_recent(self, since: ids.Instant, now: ids.Instant) -> bool:
        """Return whether a timeout still counts."""
        return now - since < self.seconds
