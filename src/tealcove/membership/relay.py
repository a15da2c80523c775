"""Heartbeats in large groups: sent to a few relays, which forward them to all.

In a full mesh of dozens of instances, heartbeats would cost more than all requests
together, and each instance would open a connection to every other.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from tealcove import ids
from tealcove.membership import messages, ranking
from tealcove.peers import endpoint

# Number of relays. Any two may fail at the same moment without a gap; when all three
# do, others replace them before any instance becomes suspect.
RELAYS = 3
# Seconds of silence after which a relay is replaced: two forward intervals and a
# heartbeat interval. And for how long the silent one is not selected again.
SILENT_SECONDS = 1.25
EXCLUDED_SECONDS = 5.0
# For so many seconds after all relays fell silent, heartbeats go to all peers: where
# more than half of the group died, the next relays in rank may be dead as well, and
# every instance would become suspect before live relays are found.
ALL_LOST_SECONDS = 2.0
# Seconds between two digests, and the delay that groups urgent changes in one.
FORWARD_INTERVAL = 0.5
FORWARD_DELAY = 0.02
# Seconds after which a peer gets a full digest again, in case it missed entries.
FULL_DIGEST_SECONDS = 10.0


class RelaySelection:
    """Selects the relays that this instance uses; all instants are running time."""

    def __init__(self) -> None:
        # When each relay was selected or last heard, and when each was excluded.
        self.heard: dict[endpoint.Endpoint, ids.Instant] = {}
        self.excluded: dict[endpoint.Endpoint, ids.Instant] = {}
        # When any relay was last heard, or the first ones were selected.
        self.last_heard_at = ids.Instant(0.0)
        self.all_lost_until = ids.Instant(0.0)

    def has_lost_all_relays(self, now: ids.Instant) -> bool:
        """Return whether all relays fell silent recently."""
        return now < self.all_lost_until

    def note_contact(self, peer: endpoint.Endpoint, now: ids.Instant) -> None:
        """Record a message received directly from a peer."""
        self.excluded.pop(peer, None)
        if peer in self.heard:
            self.heard[peer] = now
            self.last_heard_at = now

    def choose(
        self,
        own: endpoint.Endpoint,
        alive: Mapping[endpoint.Endpoint, int],
        now: ids.Instant,
    ) -> set[endpoint.Endpoint]:
        """Return the relays among the live instances, this one included.

        `alive` maps each address to its strength. The order is by strength and hash, so
        that instances with the same view select the same relays.
        """
        if not self.heard:
            self.last_heard_at = now
        elif now - self.last_heard_at > SILENT_SECONDS:
            # The replacements of silent relays are silent, too. A check whether all are
            # silent at one time would never succeed: dead instances replace dead ones
            # one by one, each with a silence timeout of its own.
            self.all_lost_until = ids.Instant(now + ALL_LOST_SECONDS)
        for peer, since in list(self.heard.items()):
            if now - since > SILENT_SECONDS:
                self.excluded[peer] = now
                del self.heard[peer]
        for peer, since in list(self.excluded.items()):
            if now - since > EXCLUDED_SECONDS:
                del self.excluded[peer]
        usable = {str(peer): peer for peer in alive.keys() - self.excluded.keys()}
        strengths = {ids.InstanceId(name): alive[at] for name, at in usable.items()}
        ranked = ranking.rank_by_strength("relay", strengths)
        chosen = {usable[name] for name in ranked[:RELAYS]}
        before = self.heard
        self.heard = {peer: before.get(peer, now) for peer in chosen - {own}}
        return chosen


class NumberedHeartbeat(msgspec.Struct):
    """A received heartbeat with the number that stands for it in digests."""

    number: int
    heartbeat: messages.Heartbeat
    heard: ids.Instant


class Forwarder:
    """The heartbeats that a relay received directly, and which of them changed."""

    def __init__(self) -> None:
        self.next_number = 1
        self.received: dict[ids.InstanceId, NumberedHeartbeat] = {}
        # When each address last got a full digest; changes since the last digest.
        self.full_sent: dict[endpoint.Endpoint, ids.Instant] = {}
        self.changed: set[ids.InstanceId] = set()

    def record(self, heartbeat: messages.Heartbeat, now: ids.Instant) -> bool:
        """Record a heartbeat from its sender; return whether it is urgent.

        Urgent are new incarnations and lifecycles; revisions go with the next digest.
        """
        plain = msgspec.structs.replace(heartbeat, known=())
        before = self.received.get(heartbeat.instance)
        if before is not None and before.heartbeat == plain:
            before.heard = now
            return False
        same = before is not None and (
            before.heartbeat.incarnation == heartbeat.incarnation
        )
        if same:
            number = before.number
        else:
            number = self.next_number
            self.next_number += 1
        self.received[heartbeat.instance] = NumberedHeartbeat(number, plain, now)
        self.changed.add(heartbeat.instance)
        return not same or before.heartbeat.lifecycle is not heartbeat.lifecycle

    def sweep(self, forget_after: float, now: ids.Instant) -> None:
        """Remove instances that were silent for long, and outdated full digests."""
        for instance, found in list(self.received.items()):
            if now - found.heard > forget_after:
                del self.received[instance]
                self.changed.discard(instance)
        for peer, since in list(self.full_sent.items()):
            if now - since > FULL_DIGEST_SECONDS:
                del self.full_sent[peer]

    def digests(
        self, own: messages.Heartbeat, now: ids.Instant
    ) -> tuple[messages.Digest, messages.Digest]:
        """Return the digest of changes and the full digest."""
        recent = [
            d for d in self.received.values() if now - d.heard <= 2 * FORWARD_INTERVAL
        ]
        heard = tuple(one.number for one in recent)
        entries = {one.heartbeat.instance: entry(one) for one in recent}
        news = tuple(entries[name] for name in self.changed if name in entries)
        self.changed.clear()
        full = tuple(entries.values())
        return (
            messages.Digest(relay=own, entries=news, heard=heard),
            messages.Digest(relay=own, entries=full, heard=heard),
        )

    def has_full_digest(self, peer: endpoint.Endpoint) -> bool:
        """Return whether an address got a full digest recently."""
        return peer in self.full_sent

    def note_full_digest(self, peer: endpoint.Endpoint, now: ids.Instant) -> None:
        """Record that an address got a full digest."""
        self.full_sent[peer] = now


def entry(found: NumberedHeartbeat) -> messages.DigestEntry:
    """Return the digest entry of an instance."""
    return messages.DigestEntry(found.number, found.heartbeat)


class NumberTable:
    """Maps the numbers in the digests of each relay to instances."""

    def __init__(self) -> None:
        self.by_relay: dict[
            ids.Incarnation, dict[int, tuple[ids.InstanceId, ids.Incarnation]]
        ] = {}

    def learn(self, digest: messages.Digest) -> None:
        """Record the numbers in the entries of a digest."""
        known = self.by_relay.setdefault(digest.relay.incarnation, {})
        for one in digest.entries:
            beat = one.heartbeat
            known[one.number] = (beat.instance, beat.incarnation)

    def find(
        self, digest: messages.Digest
    ) -> tuple[list[tuple[ids.InstanceId, ids.Incarnation]], bool]:
        """Return the instances heard, and whether every number was known."""
        known = self.by_relay.get(digest.relay.incarnation, {})
        found = [known[number] for number in digest.heard if number in known]
        return found, len(found) == len(digest.heard)

    def forget(self, kept: set[ids.Incarnation]) -> None:
        """Remove all relays but those in `kept`."""
        for incarnation in set(self.by_relay) - kept:
            del self.by_relay[incarnation]
