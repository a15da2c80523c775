"""The membership table of an instance, built from its peers' heartbeats."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from tealcove import ids, stalls
from tealcove.membership import messages, ranking
from tealcove.peers import endpoint

# Cached rankings. Keys that are used only once, such as those of claims, fill the
# cache, which is then cleared.
MAX_CACHED_RANKINGS = 2000

# With more peers than these, heartbeats go by relays, see relay.py: with 63 instances
# in a full mesh, heartbeats every 0.25 s took 0.1 of a core on each.
FULL_MESH_PEERS = 20
# Factor on the silence after which a peer is suspect when relays are in use: 3 s in
# place of 1 s. Three relays that fail at once are replaced within 2.25 s, later on busy
# machines: with 2.5 s, nearly all peers became suspect in a test at twice the
# machine's load.
RELAYED_SUSPECT_FACTOR = 3.0

# Fields of a heartbeat that change with the load, and rank no instance.
UNRANKED_FIELDS = frozenset({"capacity", "headroom"})

Ranked = tuple[str, ids.DataCentreId | None]


class Member(msgspec.Struct):
    """A peer with its last heartbeat and the running time of the last contact."""

    heartbeat: messages.Heartbeat
    heard: ids.Instant

    @property
    def endpoint(self) -> endpoint.Endpoint:
        """The address at which the peer listens for messages."""
        return self.heartbeat.endpoint


class Members:
    """The members of the deployment, this instance among them."""

    def __init__(
        self,
        own: messages.Heartbeat,
        suspect_after: float,
        forget_after: float,
        own_stalls: stalls.Stalls | None = None,
    ) -> None:
        self.own = own
        # For how long this process itself stood still, which isn't a peer's silence.
        self.stalls = own_stalls or stalls.Stalls()
        self.suspect_after = suspect_after
        self.forget_after = forget_after
        self.peers: dict[ids.InstanceId, Member] = {}
        self.listeners: list[Callable[[], None]] = []
        self.last_serving: tuple[tuple[ids.InstanceId, ids.Incarnation], ...] = ()
        # Cached rankings of all known instances by key and data centre, cleared when an
        # instance joins, leaves or changes: hashing for each ticket took 1.8 ms with
        # 580 instances.
        self.rankings: dict[Ranked, list[ids.InstanceId]] = {}

    def listen(self, listener: Callable[[], None]) -> None:
        """Register a function to call when the set of serving instances changes."""
        self.listeners.append(listener)

    def update_own(self, **changes: object) -> None:
        """Change fields of this instance's own heartbeat."""
        change = self.own.change + 1
        self.own = msgspec.structs.replace(self.own, change=change, **changes)
        if not changes.keys() <= UNRANKED_FIELDS:
            self.rankings.clear()

    def record_heartbeat(self, heartbeat: messages.Heartbeat, now: ids.Instant) -> None:
        """Record a heartbeat of a peer, unless it is outdated."""
        if heartbeat.instance == self.own.instance:
            return
        known = self.peers.get(heartbeat.instance)
        if known is not None and self.is_outdated(known, heartbeat, now):
            return
        if known is None or self.affects_serving(known, heartbeat, now):
            heard = self.stalls.running(now)
            self.peers[heartbeat.instance] = Member(heartbeat, heard)
            self.rankings.clear()
            self.notify_if_changed(now)
            return
        # By far the most frequent case; its cost must not grow with the peers.
        known.heartbeat = heartbeat
        known.heard = self.stalls.running(now)

    def affects_serving(
        self, known: Member, heartbeat: messages.Heartbeat, now: ids.Instant
    ) -> bool:
        """Return whether a heartbeat may change the serving set or the ranking."""
        before = known.heartbeat
        return (
            heartbeat.incarnation != before.incarnation
            or heartbeat.lifecycle is not before.lifecycle
            or heartbeat.data_centre != before.data_centre
            or heartbeat.strength != before.strength
            or self.is_suspect(known, now)
        )

    def is_outdated(
        self, known: Member, heartbeat: messages.Heartbeat, now: ids.Instant
    ) -> bool:
        """Return whether a heartbeat is older than the recorded one.

        One of the same incarnation may have come by a slower relay. The last
        heartbeats of a replaced instance may arrive after its successor's first ones;
        if recorded, the member would alternate between the two incarnations.
        """
        if heartbeat.incarnation == known.heartbeat.incarnation:
            return heartbeat.change < known.heartbeat.change
        if known.heartbeat.lifecycle is messages.Lifecycle.GONE:
            return False
        return not self.is_suspect(known, now)

    def record_contact(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation, now: ids.Instant
    ) -> bool:
        """Refresh a peer that a relay heard; False: its heartbeat is needed."""
        known = self.peers.get(instance)
        if instance == self.own.instance:
            return True
        if known is None:
            return False
        if known.heartbeat.incarnation != incarnation:
            return not self.is_suspect(known, now)
        was_suspect = self.is_suspect(known, now)
        known.heard = self.stalls.running(now)
        if was_suspect:
            self.notify_if_changed(now)
        return True

    def is_large(self) -> bool:
        """Return whether heartbeats go by relays."""
        return len(self.peers) > FULL_MESH_PEERS

    def is_suspect(self, member: Member, now: ids.Instant) -> bool:
        """Return whether a peer has been silent for too long."""
        factor = RELAYED_SUSPECT_FACTOR if self.is_large() else 1.0
        return self.silence(member, now) > self.suspect_after * factor

    def silence(self, member: Member, now: ids.Instant) -> float:
        """Return the seconds since the last contact in which this process ran."""
        return self.stalls.running(now) - member.heard

    def sweep(self, now: ids.Instant) -> list[Member]:
        """Remove peers silent for longer than `forget_after` and return them."""
        forgotten = [
            member
            for member in self.peers.values()
            if self.silence(member, now) > self.forget_after
        ]
        for member in forgotten:
            del self.peers[member.heartbeat.instance]
            self.rankings.clear()
        self.notify_if_changed(now)
        return forgotten

    def notify_if_changed(self, now: ids.Instant) -> None:
        """Call the listeners when the set of serving instances has changed."""
        serving = tuple(sorted((h.instance, h.incarnation) for h in self.serving(now)))
        if serving == self.last_serving:
            return
        self.last_serving = serving
        for listener in self.listeners:
            listener()

    def alive(self, now: ids.Instant) -> list[messages.Heartbeat]:
        """Return this instance and the peers that are neither suspect nor gone."""
        alive = [
            member.heartbeat
            for member in self.peers.values()
            if not self.is_suspect(member, now)
            and member.heartbeat.lifecycle is not messages.Lifecycle.GONE
        ]
        return [self.own, *alive]

    def serving(self, now: ids.Instant) -> list[messages.Heartbeat]:
        """Return the instances that accept new work."""
        return [
            heartbeat
            for heartbeat in self.alive(now)
            if heartbeat.lifecycle is messages.Lifecycle.SERVING
        ]

    def find(self, instance: ids.InstanceId) -> messages.Heartbeat | None:
        """Return the last heartbeat of an instance, suspect or not."""
        if instance == self.own.instance:
            return self.own
        member = self.peers.get(instance)
        return None if member is None else member.heartbeat

    def silence_of(self, instance: ids.InstanceId, now: ids.Instant) -> float:
        """Return the seconds since the last contact; 0 for this instance."""
        if instance == self.own.instance:
            return 0.0
        return self.silence(self.peers[instance], now)

    def endpoint_of(self, instance: ids.InstanceId) -> endpoint.Endpoint | None:
        """Return the peer address of an instance, or None if it is unknown."""
        heartbeat = self.find(instance)
        return None if heartbeat is None else heartbeat.endpoint

    def rank(
        self,
        key: str,
        now: ids.Instant,
        near: ids.DataCentreId | None = None,
    ) -> list[ids.InstanceId]:
        """Rank the serving instances for a key, those in `near` first."""
        ranked = self.rankings.get((key, near))
        if ranked is None:
            ranked = self.rank_all(key, near)
        return [instance for instance in ranked if self.is_serving(instance, now)]

    def rank_all(self, key: str, near: ids.DataCentreId | None) -> list[ids.InstanceId]:
        """Rank all known instances, serving or not, and cache the order."""
        known = [self.own, *(member.heartbeat for member in self.peers.values())]
        strengths = {heartbeat.instance: heartbeat.strength for heartbeat in known}
        ranked = ranking.rank_by_strength(key, strengths)
        if near is not None:
            local = {h.instance for h in known if h.data_centre == near}
            ranked.sort(key=lambda instance: instance not in local)
        if len(self.rankings) >= MAX_CACHED_RANKINGS:
            self.rankings.clear()
        self.rankings[key, near] = ranked
        return ranked

    def is_heard(self, instance: ids.InstanceId, now: ids.Instant) -> bool:
        """Return whether an instance runs, as far as known."""
        if instance == self.own.instance:
            return True
        member = self.peers.get(instance)
        return member is not None and not self.is_suspect(member, now)

    def is_serving(self, instance: ids.InstanceId, now: ids.Instant) -> bool:
        """Return whether an instance accepts new work."""
        if instance == self.own.instance:
            return self.own.lifecycle is messages.Lifecycle.SERVING
        member = self.peers[instance]
        serving = member.heartbeat.lifecycle is messages.Lifecycle.SERVING
        return serving and not self.is_suspect(member, now)
