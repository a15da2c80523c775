"""Which instances left a question unanswered a moment ago."""

from __future__ import annotations

from tealcove import ids


class UnresponsivePeers:
    """Remembers who was silent, until they say something or some time has passed."""

    def __init__(self, seconds: float) -> None:
        # For how long an instance counts as silent after an unanswered question.
        self.seconds = seconds
        self.since: dict[ids.InstanceId, ids.Instant] = {}

    def note_timeout(self, instance: ids.InstanceId, now: ids.Instant) -> None:
        """Note that an instance left a question unanswered."""
        self.since = {
            name: since
            for name, since in self.since.items()
            if self.is_recent(since, now)
        }
        self.since[instance] = now

    def note_response(self, instance: ids.InstanceId) -> None:
        """Note a word of an instance."""
        self.since.pop(instance, None)

    def is_unresponsive(self, instance: ids.InstanceId, now: ids.Instant) -> bool:
        """Tell whether an instance left a question unanswered a moment ago."""
        since = self.since.get(instance)
        return since is not None and self.is_recent(since, now)

    def is_recent(self, since: ids.Instant, now: ids.Instant) -> bool:
        """Tell whether an unanswered question still counts."""
        return now - since < self.seconds
