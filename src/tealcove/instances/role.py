"""Measures this instance's load and applies what follows from it."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import clock, ids, tasks
from tealcove.instances import (
    capacity,
    figures,
    headroom,
    measurement,
    protection,
    unread,
)
from tealcove.membership import members

log = logbook.Logger("instances")

# Seconds between two samples: ten for each averaging period.
SAMPLE_SECONDS = 0.1
# Seconds between two log lines on the beginning of refusals, which may last for 0.1 s.
LOG_INTERVAL = 1.0


class InstanceLoad:
    """Keeps the headroom in the heartbeat, and tells when to refuse requests."""

    def __init__(
        self,
        known: members.Members,
        source: figures.Source,
        limits: measurement.Limits,
        answers: unread.UnreadAnswers,
        now: ids.Instant,
    ) -> None:
        self.members = known
        self.measurement = measurement.Measurement(source, limits, now)
        self.headroom = headroom.Headroom(now)
        self.protection = protection.Protection()
        self.answers = answers
        self.load = measurement.Load()
        self.next_log = ids.Instant(0.0)
        # Whether the last beginning of refusals was logged; its end is then as well.
        self.is_logged = False
        # Seconds in which new requests were refused, for the metrics.
        self.refusing_seconds = 0.0
        self.sampled_at = now
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to measure."""
        self.task = tasks.start_loop(self.run, "load")

    async def stop(self) -> None:
        """Stop to measure."""
        if self.task is not None:
            await tasks.stop([self.task])

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            due = clock.now() + SAMPLE_SECONDS
            await asyncio.sleep(SAMPLE_SECONDS)
            now = clock.now()
            self.apply(now - due, now)

    def apply(self, late: float, now: ids.Instant) -> None:
        """Take a sample, which is late by some seconds, and apply it."""
        self.load = self.measurement.sample(late, now)
        was_overloaded = self.protection.is_overloaded
        self.refusing_seconds += was_overloaded * (now - self.sampled_at)
        self.sampled_at = now
        is_overloaded = self.protection.update(self.load.refusing, now)
        if is_overloaded != was_overloaded:
            self.log_change(is_overloaded, now)
        self.answers.end_unread(self.load.memory, self.measurement.limits, now)
        found = self.headroom.update(
            self.load.largest, is_overloaded, now, self.peers_headroom(now)
        )
        self.announce(capacity.REFUSING if is_overloaded else found)

    def log_change(self, is_overloaded: bool, now: ids.Instant) -> None:
        """Log the beginning or the end of refusals."""
        if is_overloaded:
            self.is_logged = now >= self.next_log
        if not self.is_logged:
            return
        if is_overloaded:
            self.next_log = ids.Instant(now + LOG_INTERVAL)
        log.info(
            "new requests {}: delay {:.2f}, memory {:.2f}, descriptors {:.2f}, "
            "link {:.2f}",
            "refused" if is_overloaded else "accepted again",
            self.load.delay,
            self.load.memory,
            self.load.descriptors,
            self.load.direction,
        )

    def peers_headroom(self, now: ids.Instant) -> float:
        """Return the mean headroom of the other instances of the data centre."""
        is_idle = self.load.largest <= headroom.HIGH_LOAD
        if is_idle and self.headroom.value == headroom.WHOLE:
            # Without effect, and each sample would go through all peers.
            return headroom.WHOLE
        own = self.members.own
        found = [
            heartbeat.headroom
            for heartbeat in self.members.serving(now)
            if heartbeat.data_centre == own.data_centre and heartbeat is not own
        ]
        return sum(found) / len(found) if found else headroom.WHOLE

    def announce(self, found: int) -> None:
        """State the headroom in the heartbeats, if it has changed.

        Directories leave an instance out of subsets for as long as it states none.
        """
        if found != self.members.own.headroom:
            self.members.update_own(headroom=found)

    def reconfigure(self, stated: int, limits: measurement.Limits) -> None:
        """Apply changed settings of the machine."""
        self.measurement.limits = limits
        self.members.update_own(capacity=stated)
