"""Selection of the instances that follow the store."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import clock, ids, tasks
from tealcove.catalog import copies, follower
from tealcove.membership import members, messages, ranking
from tealcove.storage import revisions

log = logbook.Logger("catalog")

# Instances of each data centre that follow the store in a large group, and send copies
# to the others. Where all follow, each change of a server is paid for once per
# instance, and each of them reads a whole configuration over its own link, six times as
# large as packed for a peer. One follower may fail at any moment without a gap.
FOLLOWERS = 2
# Seconds between two reviews of whether this instance should follow.
REVIEW_INTERVAL = 0.25
# Seconds of silence of all followers of its data centre after which an instance follows
# the store itself. Relays send digests every .5 s. Waiting until the followers are
# suspect, plus the time for unanswered requests to peers, would exceed the time in
# which a change must be in force.
FOLLOWERS_SILENT_SECONDS = 1.0
# Seconds for which an instance goes on following when it is no longer selected, so that
# its successor has started. It is short: while many instances start, all follow until
# they know each other, and each change of a server takes a call of each.
HANDOVER_SECONDS = 0.5
# Seconds for which an instance follows the store itself when peers haven't answered,
# and for which one that lost the store leaves following to others.
DIRECT_SECONDS = 5.0


class Following:
    """Starts and stops this instance's followers."""

    def __init__(
        self, known: members.Members, followers: tuple[follower.Follower, ...]
    ) -> None:
        self.members = known
        self.followers = followers
        self.tasks: list[asyncio.Task[None]] = []
        self.review_task: asyncio.Task[None] | None = None
        self.wanted_at = ids.Instant(0.0)
        # Until when this instance follows whatever its rank is; and when it last found
        # the store unreachable.
        self.direct_until = ids.Instant(0.0)
        self.store_lost_at: ids.Instant | None = None

    def start(self) -> None:
        """Start following; the first review of the group comes later."""
        self.start_followers(clock.now())
        self.review_task = tasks.start_loop(
            self.review_periodically, "who follows the store"
        )

    async def stop(self) -> None:
        """Stop all tasks."""
        if self.review_task is not None:
            await tasks.stop([self.review_task, *self.tasks])

    async def review_periodically(self) -> None:
        """Review periodically whether to follow, until cancelled."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL)
            self.review(clock.now())

    def review(self, now: ids.Instant) -> None:
        """Start or stop the followers, by the current membership."""
        self.update_reaches_store(now)
        if self.is_wanted(now):
            self.start_followers(now)
        elif self.tasks and now - self.wanted_at > HANDOVER_SECONDS:
            self.stop_followers()

    def start_followers(self, now: ids.Instant) -> None:
        """Start the followers, unless they are running."""
        self.wanted_at = now
        if self.tasks:
            return
        if self.review_task is not None:
            log.info("following the store for {}", self.members.own.data_centre)
        self.tasks = [
            tasks.start_loop(one.run, f"follower of {one.table}")
            for one in self.followers
        ]

    def stop_followers(self) -> None:
        """Stop the followers; an open call to the store is cancelled."""
        log.info(
            "stopped following the store in favour of {}",
            ", ".join(self.chosen(clock.now())),
        )
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    def is_wanted(self, now: ids.Instant) -> bool:
        """Return whether this instance should follow the store.

        Nothing else bounds the age of its copies: relays, followers and the peers that
        it would ask may fail together.
        """
        own = self.members.own
        if not self.members.is_large() or now < self.direct_until:
            return True
        if own.lifecycle is not messages.Lifecycle.SERVING:
            # It has no copy yet, or no longer serves.
            return own.lifecycle is messages.Lifecycle.JOINING
        chosen = self.chosen(now)
        return own.instance in chosen or not any(
            self.members.silence_of(instance, now) <= FOLLOWERS_SILENT_SECONDS
            for instance in chosen
        )

    def chosen(self, now: ids.Instant) -> list[ids.InstanceId]:
        """Return the followers of this data centre, by the local membership.

        Instances that reach the store and know its era go first, then those with the
        fastest links: each follower sends a whole configuration to half of its data
        centre.
        """
        own = self.members.own.data_centre
        near = [beat for beat in self.members.serving(now) if beat.data_centre == own]
        eras = [revisions.era_of(beat.servers_revision) for beat in near]
        newest = max(eras, default=ids.NO_ERA)
        link_classes = {
            beat.instance: (
                beat.link_class if beat.reaches_store and era == newest else -1
            )
            for beat, era in zip(near, eras, strict=True)
        }
        return ranking.rank_by_strength(f"followers of {own}", link_classes)[:FOLLOWERS]

    def follow_directly(self, now: ids.Instant) -> None:
        """Follow the store for a while, after peers have not answered."""
        self.direct_until = ids.Instant(now + DIRECT_SECONDS)
        self.start_followers(now)

    def update_reaches_store(self, now: ids.Instant) -> None:
        """Update the heartbeat's flag for whether this instance reaches the store.

        It stays cleared until the instance has not followed for a while: an instance
        that the store refuses does not follow for long, and none is excluded for ever.
        """
        is_store_lost = bool(self.tasks) and any(
            one.is_store_lost(now) for one in self.followers
        )
        if is_store_lost:
            self.store_lost_at = now
        reaches = (
            self.store_lost_at is None or now - self.store_lost_at > DIRECT_SECONDS
        )
        if self.tasks and not is_store_lost:
            reaches = True
        if reaches != self.members.own.reaches_store:
            self.members.update_own(reaches_store=reaches)

    def is_current(self, now: ids.Instant) -> bool:
        """Return whether no known instance can have a newer list of servers.

        While the store is away for all of them, none can have one.
        """
        newest = self.members.own.servers_revision
        alive = self.members.alive(now)
        if any(beat.servers_revision > newest for beat in alive):
            return False
        if any(beat.reaches_store for beat in alive):
            return True
        return not any(
            member.heartbeat.reaches_store and self.members.is_suspect(member, now)
            for member in self.members.peers.values()
        )

    def is_receiving(self, wanted: copies.Copy, now: ids.Instant) -> bool:
        """Return whether the store's answer for a copy is being received."""
        return bool(self.tasks) and any(
            one.copy is wanted and one.is_receiving(now) for one in self.followers
        )
