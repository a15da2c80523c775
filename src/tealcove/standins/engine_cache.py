"""An engine's bounded prefix cache, and its delayed events with gaps."""

from __future__ import annotations

import collections
import random

import msgspec

from tealcove import ids

# Published events that are kept; to readers, older ones are a gap.
MAX_PUBLISHED_EVENTS = 10_000
STORED = "stored"
REMOVED = "removed"


class CacheEvent(msgspec.Struct, frozen=True):
    """Blocks added to or evicted from the cache; `kind` is STORED or REMOVED."""

    sequence: int
    kind: str
    blocks: tuple[int, ...]


class EventsReport(msgspec.Struct, frozen=True):
    """Events after the requested number, and the last published number."""

    events: tuple[CacheEvent, ...]
    last: int


class PendingEvent(msgspec.Struct, frozen=True):
    """An event that is published at `publish_at`."""

    publish_at: ids.Instant
    event: CacheEvent


class EventLog:
    """Delays events by `lag` and drops a random share of them."""

    def __init__(self, lag: float, gap_share: float, seed: int) -> None:
        self.lag = lag
        self.gap_share = gap_share
        self.random = random.Random(seed)
        self.sequence = 0
        self.dropping = False
        self.pending: collections.deque[PendingEvent] = collections.deque()
        self.published: collections.deque[CacheEvent]
        self.published = collections.deque(maxlen=MAX_PUBLISHED_EVENTS)

    def record(self, kind: str, blocks: tuple[int, ...], now: ids.Instant) -> None:
        """Queue an event under the next number, which a dropped event uses up too."""
        self.sequence += 1
        if self.dropping or self.random.random() < self.gap_share:
            return
        event = CacheEvent(self.sequence, kind, blocks)
        self.pending.append(PendingEvent(ids.Instant(now + self.lag), event))

    def report(self, after: int, now: ids.Instant) -> EventsReport:
        """Return the events after `after` that are published by `now`.

        `last` is always the number of a published event, never of a dropped one:
        a reader that continues from it sees the gap at the next event.
        """
        while self.pending and self.pending[0].publish_at <= now:
            self.published.append(self.pending.popleft().event)
        events = tuple(event for event in self.published if event.sequence > after)
        last = self.published[-1].sequence if self.published else 0
        return EventsReport(events, last)


class PrefixCache:
    """An LRU cache of blocks, which are identified by their chained hash."""

    def __init__(self, capacity: int, log: EventLog) -> None:
        self.capacity = capacity
        self.log = log
        self.blocks: collections.OrderedDict[int, None] = collections.OrderedDict()

    def match(self, chain: tuple[int, ...]) -> int:
        """Return the number of leading blocks of a prompt that are cached."""
        matched = 0
        for block in chain:
            if block not in self.blocks:
                break
            matched += 1
        self.touch(chain[:matched])
        return matched

    def touch(self, chain: tuple[int, ...]) -> None:
        """Mark blocks as used, the first block last.

        A block is useless without those before it, so the end of a prefix
        must be evicted before its start.
        """
        for block in reversed(chain):
            self.blocks.move_to_end(block)

    def store(self, chain: tuple[int, ...], now: ids.Instant) -> None:
        """Store the leading blocks of a prompt, as many as fit."""
        fitting = chain[: self.capacity]
        added = tuple(block for block in fitting if block not in self.blocks)
        for block in added:
            self.blocks[block] = None
        self.touch(fitting)
        if added:
            self.log.record(STORED, added, now)
        self.evict(now)

    def evict(self, now: ids.Instant) -> None:
        """Evict the least recently used blocks beyond the capacity."""
        removed = []
        while len(self.blocks) > self.capacity:
            block, _ = self.blocks.popitem(last=False)
            removed.append(block)
        if removed:
            self.log.record(REMOVED, tuple(removed), now)
