"""Replication of records among instances, by messages and heartbeat checksums."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from tealcove import clock, ids
from tealcove.membership import heartbeats, members
from tealcove.membership import messages as membership_messages
from tealcove.peers import mesh, message
from tealcove.quarantine import ledger, messages

# Seconds between two sends of a changed record, and the number of sends. With a single
# send, an instance that misses it would still run a crashing request.
REPEAT_INTERVAL = 0.25
REPEATS = 3
# Seconds between two messages to peers whose records differ, and the maximum of records
# in one; together they bound the traffic between instances that differ.
SYNC_INTERVAL = 1.0
SYNC_RECORDS = 64

# Messages with a tuple of records named `records`.
RecordsMessage = messages.MarksChanged | messages.PartsChanged


class Sharer:
    """Sends changed records to peers, and detects differing peers by heartbeat."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        heartbeats: heartbeats.HeartbeatService,
        held: ledger.Ledger,
        message_type: type[message.Message],
        checksum_field: str,
    ) -> None:
        self.transport = transport
        self.members = known
        self.heart = heartbeats
        self.ledger = held
        self.message_type = message_type
        # The field of a heartbeat that holds the checksum.
        self.checksum_field = checksum_field
        # The remaining sends of each changed record.
        self.repeats: dict[str, int] = {}
        self.next_sync = ids.Instant(0.0)
        self.sync_offset = 0

    def start(self) -> None:
        """Register the handlers of messages and heartbeats."""
        self.transport.handle(self.message_type, self.handle_records)
        self.heart.listeners.append(self.compare)

    async def run(self) -> None:
        """Repeat changed records and remove ended ones, until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_INTERVAL)
            now = clock.now()
            self.repeat(now)
            self.ledger.sweep(now)
            self.update_heartbeat(now)

    def publish(self, keys: Iterable[str], now: ids.Instant) -> None:
        """Send records that have changed here to all peers."""
        keys = tuple(keys)
        self.send(keys, now)
        self.repeats.update(dict.fromkeys(keys, REPEATS - 1))
        self.update_heartbeat(now)

    def repeat(self, now: ids.Instant) -> None:
        """Send every record with remaining sends to all peers."""
        self.send(self.repeats, now)
        self.repeats = {k: left - 1 for k, left in self.repeats.items() if left > 1}

    def send(self, keys: Iterable[str], now: ids.Instant) -> None:
        """Send some records in one message to all peers."""
        changed = [self.ledger.changed(key, now) for key in keys]
        records = tuple(record for record in changed if record is not None)
        if not records:
            return
        sent = self.message_type(records=records)
        for heartbeat in self.members.alive(now):
            is_own = heartbeat.instance == self.members.own.instance
            if not is_own and self.takes_part(heartbeat):
                self.transport.send(heartbeat.endpoint, sent)

    def takes_part(self, heartbeat: membership_messages.Heartbeat) -> bool:
        """Tell whether an instance keeps such records; by default, all do."""
        return True

    def checksum_of(self, heartbeat: membership_messages.Heartbeat) -> int:
        """Return the checksum of an instance's records."""
        return getattr(heartbeat, self.checksum_field)

    def update_heartbeat(self, now: ids.Instant) -> None:
        """Put the checksum of the records into this instance's heartbeat."""
        checksum = self.ledger.checksum(now)
        if checksum != self.checksum_of(self.members.own):
            self.members.update_own(**{self.checksum_field: checksum})

    def handle_records(
        self,
        sender: ids.InstanceId,
        changed: RecordsMessage,
    ) -> None:
        """Merge a peer's records."""
        now = clock.now()
        for record in changed.records:
            self.ledger.merge(record, now)
        self.update_heartbeat(now)

    def compare(self, heartbeat: membership_messages.Heartbeat) -> None:
        """Send records to a peer whose checksum differs; the peer does the same."""
        now = clock.now()
        is_equal = self.checksum_of(heartbeat) == self.checksum_of(self.members.own)
        if is_equal or now < self.next_sync or not self.takes_part(heartbeat):
            return
        shared = tuple(self.ledger.shared(key, now) for key in self.next_keys())
        found = tuple(record for record in shared if record is not None)
        if found:
            self.next_sync = ids.Instant(now + SYNC_INTERVAL)
            sent = self.message_type(records=found)
            self.transport.send(heartbeat.endpoint, sent)

    def next_keys(self) -> list[str]:
        """Return the keys of the next message, in rotation."""
        keys = self.ledger.all_keys()
        if self.sync_offset >= len(keys):
            self.sync_offset = 0
        chosen = keys[self.sync_offset : self.sync_offset + SYNC_RECORDS]
        self.sync_offset += SYNC_RECORDS
        return chosen
