"""Heartbeats in large groups: sent to a few instances, which pass them on to all.

Were each of dozens of instances to tell each of the others, heartbeats would cost them
more than all requests together, and each start a connection to every other.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from tealcove import ids
from tealcove.membership import messages, ranking
from tealcove.peers import endpoint

# Instances that pass heartbeats on. Any two may fail at the same moment without a gap;
# when all three do, others take their place before anyone counts as lost.
RELAYS = 3
# Seconds without a word from a relay after which another one is chosen: two passings
# and a beat. And for how long the silent one isn't chosen again.
SILENT_SECONDS = 1.25
EXCLUDED_SECONDS = 5.0
# For so many seconds after all relays fell silent, each tells each of itself: where
# more than half of the group died, the next relays in rank may be dead as well, and
# everyone would count as lost before living ones are found.
ALL_LOST_SECONDS = 2.0
# Seconds between two passings, and the least between two when there is news.
FORWARD_INTERVAL = 0.5
FORWARD_DELAY = 0.02
# Seconds after which an instance is told of all others again, in case it missed some.
FULL_DIGEST_SECONDS = 10.0


class RelaySelection:
    """Which addresses this instance takes for relays."""

    def __init__(self) -> None:
        # When each relay was chosen or last heard from, and when it fell silent.
        self.heard: dict[endpoint.Endpoint, ids.Instant] = {}
        self.excluded: dict[endpoint.Endpoint, ids.Instant] = {}
        # When any relay was last heard, or the first ones were chosen.
        self.last_heard_at = ids.Instant(0.0)
        self.all_lost_until = ids.Instant(0.0)

    def has_lost_all_relays(self, now: ids.Instant) -> bool:
        """Tell whether all relays fell silent a moment ago."""
        return now < self.all_lost_until

    def note_contact(self, peer: endpoint.Endpoint, now: ids.Instant) -> None:
        """Note a word of a peer itself."""
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
        """Return the relays among those that are alive, this instance included.

        `alive` says how strong each is. The order is by that and by hash, so that all
        who know the same instances choose alike.
        """
        if not self.heard:
            self.last_heard_at = now
        elif now - self.last_heard_at > SILENT_SECONDS:
            # Whoever took a silent relay's place has said nothing either. To wait until
            # all are found silent at one look would be in vain: dead ones take their
            # places one by one, each with a time to be silent of its own.
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
    """What a relay knows of one instance."""

    number: int
    heartbeat: messages.Heartbeat
    heard: ids.Instant


class Forwarder:
    """What a relay passes on: whom it has heard itself, and what is new of them."""

    def __init__(self) -> None:
        self.next_number = 1
        self.received: dict[ids.InstanceId, NumberedHeartbeat] = {}
        # When each address was last told of all; what is new since the last passing.
        self.full_sent: dict[endpoint.Endpoint, ids.Instant] = {}
        self.changed: set[ids.InstanceId] = set()

    def record(self, heartbeat: messages.Heartbeat, now: ids.Instant) -> bool:
        """Record a heartbeat from its sender; tell whether it's news that can't wait.

        That is who comes, goes, or serves; revisions go with the next passing.
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
        """Forget who was not heard for long."""
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
        """Return what to send to who was told of all lately, and to others."""
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
        """Tell whether an address knows the numbers."""
        return peer in self.full_sent

    def note_full_digest(self, peer: endpoint.Endpoint, now: ids.Instant) -> None:
        """Note that an address was told of all."""
        self.full_sent[peer] = now


def entry(found: NumberedHeartbeat) -> messages.DigestEntry:
    """Return an instance as a digest tells of it."""
    return messages.DigestEntry(found.number, found.heartbeat)


class NumberTable:
    """Whom the numbers in the digests of each relay mean."""

    def __init__(self) -> None:
        self.by_relay: dict[
            ids.Incarnation, dict[int, tuple[ids.InstanceId, ids.Incarnation]]
        ] = {}

    def learn(self, digest: messages.Digest) -> None:
        """Record the numbers that a digest explains."""
        known = self.by_relay.setdefault(digest.relay.incarnation, {})
        for one in digest.entries:
            beat = one.heartbeat
            known[one.number] = (beat.instance, beat.incarnation)

    def find(
        self, digest: messages.Digest
    ) -> tuple[list[tuple[ids.InstanceId, ids.Incarnation]], bool]:
        """Return who was heard, and whether every number was known."""
        known = self.by_relay.get(digest.relay.incarnation, {})
        found = [known[number] for number in digest.heard if number in known]
        return found, len(found) == len(digest.heard)

    def forget(self, kept: set[ids.Incarnation]) -> None:
        """Forget relays that are gone."""
        for incarnation in set(self.by_relay) - kept:
            del self.by_relay[incarnation]
