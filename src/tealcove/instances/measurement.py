"""Derives the load of this instance, as fractions, from its figures."""

from __future__ import annotations

import math

import msgspec

from tealcove import ids
from tealcove.instances import figures

# Seconds by which timers are late on average when the event loop can't keep up. A
# request takes about six turns of the loop until its first event, and callers want that
# within 0.63 s.
FULL_DELAY_SECONDS = 0.1
# Largest fraction that one late timer counts for, so that one standstill of the process
# isn't taken for a lasting overload.
MAX_DELAY_FRACTION = 2.0
# Seconds over which delays and traffic are averaged: the time within which callers ask
# the directory again.
AVERAGE_SECONDS = 1.0
# Seconds between two counts of the descriptors: each lists all of them.
DESCRIPTORS_INTERVAL = 1.0


class Limits(msgspec.Struct, frozen=True):
    """What the machine has; 0: not limited."""

    link_bytes_per_second: float = 0.0
    memory_bytes: float = 0.0
    descriptors: int = 0


class Load(msgspec.Struct, frozen=True):
    """Fractions of what the machine has; 0 for what can't be read."""

    delay: float = 0.0
    memory: float = 0.0
    descriptors: float = 0.0
    # Bytes in both directions together, and in the busier of them.
    link: float = 0.0
    direction: float = 0.0

    @property
    def largest(self) -> float:
        """Return the fraction by which callers are distributed."""
        return max(self.delay, self.memory, self.descriptors, self.link)

    @property
    def refusing(self) -> float:
        """Return the fraction by which requests are refused.

        The directions of most links are independent: if both counted together, requests
        were refused on a link that is half used.
        """
        return max(self.delay, self.memory, self.descriptors, self.direction)


class Measurement:
    """Reads the figures periodically and keeps the averages."""

    def __init__(
        self, source: figures.Source, limits: Limits, now: ids.Instant
    ) -> None:
        self.source = source
        self.limits = limits
        self.sampled_at = now
        self.descriptors_due = now
        self.descriptors = 0.0
        self.delay = 0.0
        # Averages in bytes a second.
        self.sent = 0.0
        self.received = 0.0
        self.traffic = msgspec.structs.replace(source.traffic())

    def sample(self, late: float, now: ids.Instant) -> Load:
        """Return the load; `late` is the delay of this call in seconds."""
        elapsed = now - self.sampled_at
        self.sampled_at = now
        weight = 1.0 - math.exp(-elapsed / AVERAGE_SECONDS)
        self.sample_delay(late, elapsed)
        self.sample_traffic(elapsed, weight)
        self.count_descriptors(now)
        link = self.limits.link_bytes_per_second
        return Load(
            delay=self.delay,
            memory=self.memory(),
            descriptors=self.descriptors,
            link=fraction(self.sent + self.received, link),
            direction=fraction(max(self.sent, self.received), link),
        )

    def sample_delay(self, late: float, elapsed: float) -> None:
        """Add a late timer to the average delay.

        Its weight is that of the time without the delay, or a standstill would weigh as
        much as all samples that it has prevented.
        """
        found = min(MAX_DELAY_FRACTION, max(0.0, late) / FULL_DELAY_SECONDS)
        weight = 1.0 - math.exp(-max(0.0, elapsed - late) / AVERAGE_SECONDS)
        self.delay += weight * (found - self.delay)

    def sample_traffic(self, elapsed: float, weight: float) -> None:
        """Add the bytes since the last sample to the averages."""
        if elapsed <= 0.0:
            return
        found = self.source.traffic()
        sent = (found.sent - self.traffic.sent) / elapsed
        received = (found.received - self.traffic.received) / elapsed
        self.sent += weight * (sent - self.sent)
        self.received += weight * (received - self.received)
        self.traffic = msgspec.structs.replace(found)

    def count_descriptors(self, now: ids.Instant) -> None:
        """Count the descriptors, at most once in an interval."""
        if self.limits.descriptors == 0:
            self.descriptors = 0.0
            return
        if now < self.descriptors_due:
            return
        self.descriptors_due = ids.Instant(now + DESCRIPTORS_INTERVAL)
        count = self.source.descriptors() or 0
        self.descriptors = fraction(count, self.limits.descriptors)

    def memory(self) -> float:
        """Return the fraction of memory; unread responses are a part of it."""
        if self.limits.memory_bytes == 0.0:
            return 0.0
        used = max(self.source.memory() or 0.0, self.source.unread())
        return fraction(used, self.limits.memory_bytes)


def fraction(used: float, limit: float) -> float:
    """Return the used part of a limit; 0 if there is none."""
    return used / limit if limit > 0.0 else 0.0
