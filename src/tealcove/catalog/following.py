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
LOOK_INTERVAL = 0.25
# Seconds without a word from any follower of its data centre after which an instance
# follows by itself. Relays tell of each other every .5 s. It mustn't wait until the
# followers count as lost: with the time that peers are asked in vain that comes to more
# than a change may take to be in force.
UNHEARD_SECONDS = 1.0
# Seconds for which an instance goes on following when it's no longer its turn, so that
# whoever takes over has begun. While many instances start, all follow until they know
# of each other, and each change of a server is a call of each.
LINGER_SECONDS = 0.5
# Seconds for which an instance follows for itself when peers haven't answered, and for
# which one whom the store has failed leaves it to others.
ALONE_SECONDS = 5.0


class Following:
    """Starts and ends this instance's followers."""

    def __init__(
        self, known: members.Members, followers: tuple[follower.Follower, ...]
    ) -> None:
        self.members = known
        self.followers = followers
        self.tasks: list[asyncio.Task[None]] = []
        self.looking: asyncio.Task[None] | None = None
        self.wanted_at = ids.Instant(0.0)
        # Until when this instance follows whatever its place is; and since when it has
        # said that the store fails it.
        self.alone_until = ids.Instant(0.0)
        self.cut_at: ids.Instant | None = None

    def start(self) -> None:
        """Begin to follow; the first look at the group comes later."""
        self.begin(clock.now())
        self.looking = tasks.start(self.look(), "who follows the store")

    async def stop(self) -> None:
        """End all tasks."""
        if self.looking is not None:
            await tasks.stop([self.looking, *self.tasks])

    async def look(self) -> None:
        """Look again and again at who should follow, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_INTERVAL)
            self.review(clock.now())

    def review(self, now: ids.Instant) -> None:
        """Follow, or leave it to others."""
        self.say_reach(now)
        if self.is_wanted(now):
            self.begin(now)
        elif self.tasks and now - self.wanted_at > LINGER_SECONDS:
            self.end()

    def begin(self, now: ids.Instant) -> None:
        """Follow from now on."""
        self.wanted_at = now
        if self.tasks:
            return
        if self.looking is not None:
            log.info("follows the store for {}", self.members.own.data_centre)
        self.tasks = [
            tasks.start(one.run(), f"follower of {one.table}") for one in self.followers
        ]

    def end(self) -> None:
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
        if not self.members.is_large() or now < self.alone_until:
            return True
        if own.lifecycle is not messages.Lifecycle.SERVING:
            # It knows nothing yet, or nobody counts on it any more.
            return own.lifecycle is messages.Lifecycle.JOINING
        chosen = self.chosen(now)
        return own.instance in chosen or not any(
            self.members.silence_of(instance, now) <= UNHEARD_SECONDS
            for instance in chosen
        )

    def chosen(self, now: ids.Instant) -> list[ids.InstanceId]:
        """Return who follows for this data centre, by what is known here.

        First those whom the store doesn't fail, then those with the fastest links: a
        whole configuration goes from each of them to half of its data centre.
        """
        own = self.members.own.data_centre
        near = [beat for beat in self.members.serving(now) if beat.data_centre == own]
        rooms = {
            beat.instance: beat.link_class if beat.reaches_store else -1
            for beat in near
        }
        return ranking.rank_by_strength(f"followers of {own}", rooms)[:FOLLOWERS]

    def follow_alone(self, now: ids.Instant) -> None:
        """Follow for a while, since no peer has told what others know."""
        self.alone_until = ids.Instant(now + ALONE_SECONDS)
        self.begin(now)

    def say_reach(self, now: ids.Instant) -> None:
        """Let heartbeats say whether the store fails this instance.

        It says so until it hasn't followed for a while: nobody follows for long whom
        the store turns away, and nobody is left out for ever.
        """
        is_cut = bool(self.tasks) and any(one.is_cut(now) for one in self.followers)
        if is_cut:
            self.cut_at = now
        reaches = self.cut_at is None or now - self.cut_at > ALONE_SECONDS
        if self.tasks and not is_cut:
            reaches = True
        if reaches != self.members.own.reaches_store:
            self.members.update_own(reaches_store=reaches)

    def is_arriving(self, wanted: copies.Copy, now: ids.Instant) -> bool:
        """Tell whether the store's answer about a copy is on its way."""
        return bool(self.tasks) and any(
            one.copy is wanted and one.is_arriving(now) for one in self.followers
        )
