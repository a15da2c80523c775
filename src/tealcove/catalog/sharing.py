"""Exchange of catalog copies between instances."""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.catalog import (
    copies,
    copysender,
    following,
    messages,
    position,
    serverlist,
)
from tealcove.membership import heartbeats, members, ranking
from tealcove.membership import messages as membership_messages
from tealcove.peers import mesh
from tealcove.storage import revisions

log = logbook.Logger("catalog")

# Seconds for which an instance waits for the store, or for an instance that follows it,
# after a heartbeat announced a newer revision: an answer of the store takes some
# milliseconds, and so does a peer's.
STORE_PATIENCE = 0.15
# The same where other instances follow the store: they send copies one by one, 54 kB to
# each of 20 instances in .35 s on a link of 100 Mbit/s.
PUSH_PATIENCE = 0.6
# Seconds until a request to a peer times out and another peer is asked: the peer may
# send copies to others first, within a share of its link.
ANSWER_SECONDS = 0.5
# Unanswered requests to peers before the store is asked instead.
MAX_UNANSWERED = 1


class Missing(msgspec.Struct):
    """A position that peers have and this instance does not."""

    position: position.Position
    timer: asyncio.TimerHandle
    # Peers that were asked for it.
    asked: tuple[ids.InstanceId, ...] = ()


class Sharing:
    """Sends newer copies to peers, and requests them from peers that have them.

    An instance that doesn't follow the store gets copies from one that does, and
    detects missed ones by the revisions in heartbeats. Requests cost bytes on links of
    5 Mbit/s: none is sent while an answer is being received, and each instance asks one
    peer at a time, near ones first and by hash, which spreads the load over all peers.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        heartbeat_service: heartbeats.HeartbeatService,
        held: tuple[copies.ConfigurationCopy, serverlist.ServersCopy],
        follows: following.Following,
        bytes_per_second: float,
    ) -> None:
        self.transport = transport
        self.members = known
        self.heartbeats = heartbeat_service
        self.copies = {copy.topic: copy for copy in held}
        self.servers = held[1]
        self.following = follows
        self.sender = copysender.CopySender(
            transport, known, self.copies, bytes_per_second
        )
        self.missing: dict[messages.Topic, Missing] = {}
        # When a peer was last asked for entries that the restored store lacks.
        self.asked_withheld_at = ids.Instant(float("-inf"))

    def start(self) -> None:
        """Register the handlers and listeners, and start sending."""
        self.transport.handle(messages.Ask, self.handle_ask)
        self.transport.handle(messages.Told, self.handle_told)
        self.heartbeats.listeners.append(self.compare)
        self.copies[messages.Topic.CONFIGURATION].listeners.append(
            self.announce_configuration
        )
        self.copies[messages.Topic.SERVERS].listeners.append(self.note_servers)
        self.sender.start()

    async def stop(self) -> None:
        """Stop all tasks."""
        for missing in self.missing.values():
            missing.timer.cancel()
        await self.sender.stop()

    def announce_configuration(self) -> None:
        """Announce a revision to all peers at once, so that revoked keys stop soon."""
        topic = messages.Topic.CONFIGURATION
        self.note_progress(topic)
        current = self.copies[topic].position
        if messages.position_in(self.members.own, topic) != current:
            self.send_to_data_centre(topic, clock.now())
            self.members.update_own(
                revision=current.revision, configuration_version=current.version
            )
            self.heartbeats.broadcast()

    def note_servers(self) -> None:
        """Send the servers to the data centre; the next heartbeats announce them.

        Immediate announcements to all peers took 129,000 heartbeats for 33 servers that
        started within 4 s among 63 instances.
        """
        self.note_progress(messages.Topic.SERVERS)
        revision = self.servers.revision
        if self.members.own.servers_revision != revision:
            self.send_to_data_centre(messages.Topic.SERVERS, clock.now())
            self.members.update_own(servers_revision=revision)
        withholds = bool(self.servers.restoration.withheld)
        if self.members.own.withholds_servers != withholds:
            self.members.update_own(withholds_servers=withholds)

    def send_to_data_centre(self, topic: messages.Topic, now: ids.Instant) -> None:
        """Queue a copy for this follower's share of its data centre."""
        if not self.members.is_large():
            return
        own = self.members.own
        chosen = self.following.chosen(now)
        if own.instance not in chosen:
            return
        near = sorted(
            beat.instance
            for beat in self.members.alive(now)
            if beat.data_centre == own.data_centre and beat.instance not in chosen
        )
        place = chosen.index(own.instance)
        for instance in near[place :: len(chosen)]:
            self.sender.add(instance, topic)

    def compare(self, heartbeat: membership_messages.Heartbeat) -> None:
        """Schedule a request if a heartbeat announces a newer copy."""
        if heartbeat.withholds_servers:
            self.ask_withheld(heartbeat, clock.now())
        for topic, copy in self.copies.items():
            announced = messages.position_in(heartbeat, topic)
            if not announced.is_after(copy.position):
                continue
            missing = self.missing.get(topic)
            if missing is None:
                patience = STORE_PATIENCE if self.following.tasks else PUSH_PATIENCE
                self.missing[topic] = Missing(announced, self.schedule(topic, patience))
            elif announced.is_after(missing.position):
                missing.position = announced

    def ask_withheld(
        self, heartbeat: membership_messages.Heartbeat, now: ids.Instant
    ) -> None:
        """Ask a peer for what it knew before the store was restored.

        An instance that has started since knows only what the restored store has.
        """
        known = self.servers.restoration
        if known.was_restored or known.withheld:
            return
        if now - self.asked_withheld_at < ANSWER_SECONDS:
            return
        self.asked_withheld_at = now
        ask = messages.Ask(topic=messages.Topic.SERVERS, since=copies.NOTHING)
        self.transport.send(heartbeat.endpoint, ask)

    def note_progress(self, topic: messages.Topic) -> None:
        """Reschedule the request for a missing revision after a copy has advanced.

        With the timer of the request before, an instance that the store refuses would
        lag by up to 1.00 s behind changes that come every .3 s, in place of .64 s
        (virtual time), and send requests to servers that have left.
        """
        missing = self.missing.get(topic)
        if missing is None:
            return
        missing.timer.cancel()
        if not missing.position.is_after(self.copies[topic].position):
            del self.missing[topic]
            return
        missing.asked = ()
        missing.timer = self.schedule(topic, STORE_PATIENCE)

    def schedule(self, topic: messages.Topic, seconds: float) -> asyncio.TimerHandle:
        """Schedule a request for a missing revision."""
        loop = asyncio.get_running_loop()
        return loop.call_later(seconds, self.request_missing, topic)

    def request_missing(self, topic: messages.Topic) -> None:
        """Ask a peer, unless the copy has caught up or is being received."""
        now = clock.now()
        copy = self.copies[topic]
        missing = self.missing[topic]
        if not missing.position.is_after(copy.position):
            del self.missing[topic]
            return
        if self.following.is_receiving(copy, now):
            missing.timer = self.schedule(topic, STORE_PATIENCE)
            return
        missing.timer = self.schedule(topic, ANSWER_SECONDS)
        if len(missing.asked) >= MAX_UNANSWERED:
            missing.asked = ()
            self.following.follow_directly(now)
        chosen = self.choose(topic, missing, now)
        if chosen is None:
            return
        missing.asked = (*missing.asked, chosen)
        peer = self.members.endpoint_of(chosen)
        log.info(
            "asking {} for the {} after revision {}",
            chosen,
            topic.value,
            revisions.text(copy.revision),
        )
        ask = messages.Ask(topic=topic, since=copy.revision, version=copy.version)
        self.transport.send(peer, ask)

    def choose(
        self, topic: messages.Topic, missing: Missing, now: ids.Instant
    ) -> ids.InstanceId | None:
        """Return the peer to ask: one with the position, near ones first, by hash."""
        own = self.members.own
        knowing = {
            beat.instance: int(beat.data_centre == own.data_centre)
            for beat in self.members.alive(now)
            if not missing.position.is_after(messages.position_in(beat, topic))
            and beat.instance not in missing.asked
        }
        ranked = ranking.rank_by_strength(f"{own.instance}|{topic.value}", knowing)
        return ranked[0] if ranked else None

    def handle_ask(self, sender: ids.InstanceId, ask: messages.Ask) -> None:
        """Queue the copy for the sender, if it is newer than the sender's."""
        asked = position.Position(ask.since, ask.version)
        if self.copies[ask.topic].position.is_after(asked):
            # It may have the same revision, and lack what the restored store lacks.
            is_due = ask.since == copies.NOTHING and bool(
                self.servers.restoration.withheld
            )
            self.sender.add(sender, ask.topic, is_due)

    def handle_told(self, sender: ids.InstanceId, told: messages.Told) -> None:
        """Adopt a peer's copy."""
        try:
            self.copies[told.topic].adopt(told, clock.now())
        except errors.PlatformError as error:
            log.error("cannot adopt a copy from {}: {}", sender, error)
