"""Replication of marks among instances, by messages and heartbeat checksums."""

from __future__ import annotations

import asyncio

from tealcove import clock, ids
from tealcove.membership import heartbeats, members
from tealcove.membership import messages as membership_messages
from tealcove.peers import mesh
from tealcove.quarantine import marks, messages

# Seconds between two sends of a changed mark, and the number of sends. With a single
# send, an instance that misses it would still run a crashing request.
REPEAT_INTERVAL = 0.25
REPEATS = 3
# Seconds between two messages to peers whose marks differ, and the maximum of marks in
# one; together they bound the traffic between instances that differ.
SYNC_INTERVAL = 1.0
SYNC_MARKS = 64


class Sharer:
    """Sends changed marks to peers, and detects differing peers by heartbeat."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        heartbeats: heartbeats.HeartbeatService,
        held: marks.Marks,
    ) -> None:
        self.transport = transport
        self.members = known
        self.heart = heartbeats
        self.marks = held
        # The remaining sends of each changed mark.
        self.repeats: dict[str, int] = {}
        self.next_sync = ids.Instant(0.0)
        self.sync_offset = 0

    def start(self) -> None:
        """Register the handlers of messages and heartbeats."""
        self.transport.handle(messages.MarksChanged, self.handle_marks)
        self.heart.listeners.append(self.compare)

    async def run(self) -> None:
        """Repeat changed marks and remove ended ones, until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_INTERVAL)
            now = clock.now()
            self.repeat(now)
            self.marks.sweep(now)
            self.update_heartbeat(now)

    def publish(self, digest: str, now: ids.Instant) -> None:
        """Send a mark that has changed here to all peers."""
        self.repeats[digest] = REPEATS
        self.repeat(now)
        self.update_heartbeat(now)

    def repeat(self, now: ids.Instant) -> None:
        """Send every mark with remaining sends to all peers."""
        shared = [self.marks.shared(digest, now) for digest in self.repeats]
        self.repeats = {d: left - 1 for d, left in self.repeats.items() if left > 1}
        changed = tuple(mark for mark in shared if mark is not None)
        if not changed:
            return
        sent = messages.MarksChanged(marks=changed)
        for heartbeat in self.members.alive(now):
            if heartbeat.instance != self.members.own.instance:
                self.transport.send(heartbeat.endpoint, sent)

    def update_heartbeat(self, now: ids.Instant) -> None:
        """Put the checksum of the marks into this instance's heartbeat."""
        checksum = self.marks.checksum(now)
        if checksum != self.members.own.marks:
            self.members.update_own(marks=checksum)

    def handle_marks(
        self, sender: ids.InstanceId, changed: messages.MarksChanged
    ) -> None:
        """Merge a peer's marks."""
        now = clock.now()
        for mark in changed.marks:
            self.marks.merge(mark, now)
        self.update_heartbeat(now)

    def compare(self, heartbeat: membership_messages.Heartbeat) -> None:
        """Send marks to a peer whose checksum differs; the peer does the same."""
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
        """Return the digests of the next message, in rotation."""
        digests = sorted(self.marks.marks)
        if self.sync_offset >= len(digests):
            self.sync_offset = 0
        chosen = digests[self.sync_offset : self.sync_offset + SYNC_MARKS]
        self.sync_offset += SYNC_MARKS
        return chosen
