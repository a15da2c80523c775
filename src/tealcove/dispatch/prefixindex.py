"""A dispatcher's estimate of the contents of a backend server's prefix cache."""

from __future__ import annotations

import collections

from tealcove.backends import engine

# Capacity in blocks until the server's load report states it.
DEFAULT_CAPACITY = 1024
# Weight of a block that a lost event may have removed.
UNCERTAIN_WEIGHT = 0.5


class PrefixIndex:
    """Blocks by chained hash, evicted least recently used first.

    Each block is stored with the number of gaps in the cache events that were seen
    before it was last confirmed. A gap may hide a removal, so incrementing that
    number makes all blocks confirmed earlier uncertain.
    """

    def __init__(self) -> None:
        self.capacity = DEFAULT_CAPACITY
        self.blocks: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.gaps = 0
        # The sequence number of the last event that was applied.
        self.last_sequence = 0

    def match(self, prefix: tuple[int, ...]) -> float:
        """Return the expected number of cached blocks from a prompt's start.

        Each block's hash covers those before it, and the end of a prefix is evicted
        before its start, so the cached length can be found by bisection.
        """
        # Most servers cache either nothing of a prompt or all of its shared start.
        if not prefix or prefix[0] not in self.blocks:
            return 0.0
        blocks = self.blocks
        low, high = 1, len(prefix)
        if prefix[-1] in blocks:
            low = high
        while low < high:
            middle = (low + high) // 2
            if prefix[middle] in blocks:
                low = middle + 1
            else:
                high = middle
        certain = self.blocks[prefix[low - 1]] == self.gaps
        return float(low) if certain else low * UNCERTAIN_WEIGHT

    def record_grant(self, prefix: tuple[int, ...]) -> None:
        """Record the blocks of a prompt that the server is about to compute."""
        fitting = prefix[: self.capacity]
        for block in reversed(fitting):
            self.blocks[block] = self.gaps
            self.blocks.move_to_end(block)
        self.evict()

    def apply_events(self, events: engine.CacheEvents) -> None:
        """Apply the events that the server published after `last_sequence`."""
        if events.last < self.last_sequence:
            # The sequence restarted: the server has lost its cache.
            self.reset()
            return
        for event in events.events:
            self.apply_event(event)

    def apply_event(self, event: engine.CacheEvent) -> None:
        """Apply one event; a missing sequence number before it is a gap."""
        if event.sequence <= self.last_sequence:
            return
        if event.sequence != self.last_sequence + 1:
            self.gaps += 1
        self.last_sequence = event.sequence
        if event.kind == "removed":
            for block in event.blocks:
                self.blocks.pop(block, None)
            return
        for block in reversed(event.blocks):
            self.blocks[block] = self.gaps
        self.evict()

    def set_capacity(self, capacity: int) -> None:
        """Adopt the capacity that the server reports."""
        if capacity > 0 and capacity != self.capacity:
            self.capacity = capacity
            self.evict()

    def evict(self) -> None:
        """Drop blocks beyond the capacity, which the server must have dropped too."""
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)

    def reset(self) -> None:
        """Clear the index, as a restart clears the server's cache."""
        self.blocks.clear()
        self.last_sequence = 0
