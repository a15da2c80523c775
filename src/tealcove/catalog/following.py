"""Which instances follow the store, and when this one does."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import clock, ids, tasks
from tealcove.catalog import copies, follower
from tealcove.membership import members, messages, ranking

log = logbook.Logger("catalog")

# Instances of each data centre that follow the store in a large group, and tell the
# others. Where all follow, each change of a server is paid for once an instance, and a
# whole configuration comes to each of them over its own link, six times as large as
# packed for a peer.
# Any one of them may fail at any moment without a gap.
FOLLOWERS = 2
# Seconds between two looks at who should follow.
REVIEW_INTERVAL = 0.25
# Seconds without a word from any follower of its data centre after which an instance
# follows by itself. Relays tell of each other every .5 s. It mustn't wait until the
# followers count as lost: with the time that peers are asked in vain that comes to more
# than a change may take to be in force.
FOLLOWERS_SILENT_SECONDS = 1.0
# Seconds for which an instance goes on following when it's no longer its turn, so that
# whoever takes over has begun. While many instances start, all follow until they know
# of each other, and each change of a server is a call of each.
HANDOVER_SECONDS = 0.5
# Seconds for which an instance follows for itself when peers haven't answered, and for
# which one whom the store has failed leaves it to others.
DIRECT_SECONDS = 5.0


class Following:
    """Starts and ends this instance's followers."""

    def __init__(
        self, known: members.Members, followers: tuple[follower.Follower, ...]
    ) -> None:
        self.members = known
        self.followers = followers
        self.tasks: list[asyncio.Task[None]] = []
        self.review_task: asyncio.Task[None] | None = None
        self.wanted_at = ids.Instant(0.0)
        # Until when this instance follows whatever its place is; and since when it has
        # said that the store fails it.
        self.direct_until = ids.Instant(0.0)
        self.store_lost_at: ids.Instant | None = None

    def start(self) -> None:
        """Begin to follow; the first look at the group comes later."""
        self.start_followers(clock.now())
        self.review_task = tasks.start(
            self.review_periodically(), "who follows the store"
        )

    async def stop(self) -> None:
        """End all tasks."""
        if self.review_task is not None:
            await tasks.stop([self.review_task, *self.tasks])

    async def review_periodically(self) -> None:
        """Look again and again at who should follow, until cancelled."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL)
            self.review(clock.now())

    def review(self, now: ids.Instant) -> None:
        """Follow, or leave it to others."""
        self.update_reaches_store(now)
        if self.is_wanted(now):
            self.start_followers(now)
        elif self.tasks and now - self.wanted_at > HANDOVER_SECONDS:
            self.stop_followers()

    def start_followers(self, now: ids.Instant) -> None:
        """Follow from now on."""
        self.wanted_at = now
        if self.tasks:
            return
        if self.review_task is not None:
            log.info("follows the store for {}", self.members.own.data_centre)
        self.tasks = [
            tasks.start(one.run(), f"follower of {one.table}") for one in self.followers
        ]

    def stop_followers(self) -> None:
        """Leave it to others; an open question to the store is given up."""
        log.info("leaves the store to {}", ", ".join(self.chosen(clock.now())))
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    def is_wanted(self, now: ids.Instant) -> bool:
        """Tell whether this instance should follow the store.

        Nothing else bounds the age of what it knows: relays, followers and the peers
        that it would ask may fail together.
        """
        own = self.members.own
        if not self.members.is_large() or now < self.direct_until:
            return True
        if own.lifecycle is not messages.Lifecycle.SERVING:
            # It knows nothing yet, or nobody counts on it any more.
            return own.lifecycle is messages.Lifecycle.JOINING
        chosen = self.chosen(now)
        return own.instance in chosen or not any(
            self.members.silence_of(instance, now) <= FOLLOWERS_SILENT_SECONDS
            for instance in chosen
        )

    def chosen(self, now: ids.Instant) -> list[ids.InstanceId]:
        """Return who follows for this data centre, by what is known here.

        First those whom the store doesn't fail, then those with the fastest links: a
        whole configuration goes from each of them to half of its data centre.
        """
        own = self.members.own.data_centre
        near = [beat for beat in self.members.serving(now) if beat.data_centre == own]
        link_classes = {
            beat.instance: beat.link_class if beat.reaches_store else -1
            for beat in near
        }
        return ranking.rank_by_strength(f"followers of {own}", link_classes)[:FOLLOWERS]

    def follow_directly(self, now: ids.Instant) -> None:
        """Follow for a while, since no peer has told what others know."""
        self.direct_until = ids.Instant(now + DIRECT_SECONDS)
        self.start_followers(now)

    def update_reaches_store(self, now: ids.Instant) -> None:
        """Let heartbeats say whether the store fails this instance.

        It says so until it hasn't followed for a while: nobody follows for long whom
        the store turns away, and nobody is left out for ever.
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

    def is_receiving(self, wanted: copies.Copy, now: ids.Instant) -> bool:
        """Tell whether the store's answer about a copy is on its way."""
        return bool(self.tasks) and any(
            one.copy is wanted and one.is_receiving(now) for one in self.followers
        )
