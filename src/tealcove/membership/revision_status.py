"""On which instances a configuration revision is in force, by heartbeats."""

from __future__ import annotations

from tealcove import ids
from tealcove.membership import members
from tealcove.resources import status

# Revisions whose time is kept; older ones report the oldest kept time.
MAX_REACHED = 1000


class HeartbeatStatus(status.StatusSource):
    """Counts the serving instances that are at a revision or a later one."""

    def __init__(self, known: members.Members) -> None:
        self.members = known
        # The lowest revision among serving instances, and when each was reached.
        self.lowest = ids.Revision(0)
        self.reached: list[tuple[ids.Revision, ids.Instant]] = []

    def note(self, now: ids.Instant) -> None:
        """Record when each revision came into force on all instances."""
        lowest = min(
            (h.revision for h in self.members.serving(now)), default=ids.Revision(0)
        )
        if lowest > self.lowest:
            self.lowest = lowest
            self.reached.append((lowest, now))
            del self.reached[:-MAX_REACHED]

    def in_force(self, revision: ids.Revision, now: ids.Instant) -> status.InForce:
        """See StatusSource."""
        self.note(now)
        serving = self.members.serving(now)
        count = sum(heartbeat.revision >= revision for heartbeat in serving)
        since = None
        if serving and count == len(serving):
            since = self.since(revision, now)
        return status.InForce(instances=count, of=len(serving), since=since)

    def since(self, revision: ids.Revision, now: ids.Instant) -> float:
        """Return for how many seconds a revision is in force on all instances."""
        for reached, instant in self.reached:
            if reached >= revision:
                return now - instant
        return 0.0
