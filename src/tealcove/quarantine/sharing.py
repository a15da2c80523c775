"""The spread of marks among instances, by message and by heartbeat."""

from __future__ import annotations

import asyncio

from tealcove import clock, ids
from tealcove.membership import heartbeats, members
from tealcove.membership import messages as membership_messages
from tealcove.peers import mesh
from tealcove.quarantine import marks, messages

# Seconds between two sendings of a changed mark, and their number. A message
# that is lost would leave an instance that still runs a crashing request.
REPEAT_INTERVAL = 0.25
REPEATS = 3
# Seconds between two answers to peers that know other marks, and the marks in
# one; together they bound the bytes that differing instances may cost.
SYNC_INTERVAL = 1.0
SYNC_MARKS = 64


class Sharer:
    """Tells peers of changed marks, and notices by heartbeat who differs."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        beating: heartbeats.HeartbeatService,
        held: marks.Marks,
    ) -> None:
        self.transport = transport
        self.members = known
        self.heart = beating
        self.marks = held
        # Sendings that each changed mark still gets.
        self.repeats: dict[str, int] = {}
        self.next_sync = ids.Instant(0.0)
        self.sync_from = 0

    def start(self) -> None:
        """Begin to take in what peers know."""
        self.transport.handle(messages.MarksChanged, self.take)
        self.heart.listeners.append(self.compare)

    async def run(self) -> None:
        """Repeat changed marks and forget ended ones, until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_INTERVAL)
            now = clock.now()
            self.repeat(now)
            self.marks.sweep(now)
            self.update_heartbeat(now)

    def publish(self, digest: str, now: ids.Instant) -> None:
        """Tell all peers of a mark that has changed here."""
        self.repeats[digest] = REPEATS
        self.repeat(now)
        self.update_heartbeat(now)

    def repeat(self, now: ids.Instant) -> None:
        """Send every mark that still has sendings left to all peers."""
        due = [self.marks.shared(digest, now) for digest in self.repeats]
        self.repeats = {d: left - 1 for d, left in self.repeats.items() if left > 1}
        changed = tuple(mark for mark in due if mark is not None)
        if not changed:
            return
        sent = messages.MarksChanged(marks=changed)
        for heartbeat in self.members.alive(now):
            if heartbeat.instance != self.members.own.instance:
                self.transport.send(heartbeat.endpoint, sent)

    def update_heartbeat(self, now: ids.Instant) -> None:
        """Let the heartbeats say which marks are known here."""
        checksum = self.marks.checksum(now)
        if checksum != self.members.own.marks:
            self.members.update_own(marks=checksum)

    def take(self, sender: ids.InstanceId, changed: messages.MarksChanged) -> None:
        """Merge what a peer knows."""
        now = clock.now()
        for mark in changed.marks:
            self.marks.merge(mark, now)
        self.update_heartbeat(now)

    def compare(self, heartbeat: membership_messages.Heartbeat) -> None:
        """Send marks to a peer that knows others; it does the same in turn."""
        now = clock.now()
        if heartbeat.marks == self.members.own.marks or now < self.next_sync:
            return
        digests = self.next_digests()
        shared = tuple(self.marks.shared(digest, now) for digest in digests)
        found = tuple(mark for mark in shared if mark is not None)
        if found:
            self.next_sync = ids.Instant(now + SYNC_INTERVAL)
            sent = messages.MarksChanged(marks=found)
            self.transport.send(heartbeat.endpoint, sent)

    def next_digests(self) -> list[str]:
        """Return the digests of one answer; later answers go on from there."""
        digests = sorted(self.marks.marks)
        if self.sync_from >= len(digests):
            self.sync_from = 0
        chosen = digests[self.sync_from : self.sync_from + SYNC_MARKS]
        self.sync_from += SYNC_MARKS
        return chosen
