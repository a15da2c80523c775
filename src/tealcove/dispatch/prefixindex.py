"""What a dispatcher believes to be in a backend server's prefix cache."""

from __future__ import annotations

import collections

from tealcove.backends import engine

# Until the server's load report names its capacity, in blocks.
DEFAULT_CAPACITY = 1024
# What a block counts that an event which got lost may have removed.
UNCERTAIN_WEIGHT = 0.5


class PrefixIndex:
    """Blocks by chained hash; the least recently used one goes first.

    Each block is kept with the number of gaps in the cache events that were seen
    before it was last confirmed. A gap may hide a removal, so it makes all blocks
    of earlier numbers uncertain in one step.
    """

    def __init__(self) -> None:
        self.capacity = DEFAULT_CAPACITY
        self.blocks: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.gaps = 0
        # The last sequence number that was taken in.
        self.last_sequence = 0

    def match(self, prefix: tuple[int, ...]) -> float:
        """Return the expected number of cached blocks from a prompt's start.

        Each block's hash covers those before it, and the end of a prefix is given
        up before its start, so the end of what is cached can be bisected.
        """
        # Most servers have either nothing of a prompt or all of its shared start.
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
        """Take in the blocks of a prompt that the server is about to compute."""
        fitting = prefix[: self.capacity]
        for block in reversed(fitting):
            self.blocks[block] = self.gaps
            self.blocks.move_to_end(block)
        self.evict()

    def apply_events(self, events: engine.CacheEvents) -> None:
        """Take in what the server published after `last`."""
        if events.last < self.last_sequence:
            # The server counts from the start again: it has lost its cache.
            self.reset()
            return
        for event in events.events:
            self.apply_event(event)

    def apply_event(self, event: engine.CacheEvent) -> None:
        """Take in one event; a number left out before it is a gap."""
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
        """Follow the capacity that the server reports."""
        if capacity > 0 and capacity != self.capacity:
            self.capacity = capacity
            self.evict()

    def evict(self) -> None:
        """Drop what the server must have dropped too."""
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)

    def reset(self) -> None:
        """Forget everything, as a server that was started anew has."""
        self.blocks.clear()
        self.last_sequence = 0
