"""Ends answers that callers don't read while memory is scarce."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Mapping

import logbook

from tealcove import ids, writebuffers
from tealcove.instances import measurement, protection

log = logbook.Logger("instances")

# Seconds for which unsent bytes of a connection haven't decreased, from which on its
# caller doesn't read: as long as callers themselves wait in silence for a server.
UNREAD_SECONDS = 2.0


class UnreadAnswers:
    """Tracks unsent bytes by connection, and frees memory when it is scarce."""

    def __init__(
        self, read_open: Callable[[], Mapping[Hashable, writebuffers.Transport]] = dict
    ) -> None:
        # Returns the transports of the open connections.
        self.read_open = read_open
        self.waiting: dict[Hashable, writebuffers.Unread] = {}
        # Connections that were ended, for the metrics.
        self.ended = 0

    def size(self) -> float:
        """Return the bytes that wait to be read by callers."""
        return sum(one.get_write_buffer_size() for one in self.read_open().values())

    def end_unread(
        self, memory: float, limits: measurement.Limits, now: ids.Instant
    ) -> None:
        """End unread answers, the largest first, until enough memory is freed.

        `memory` is the used fraction. Nothing is tracked below the threshold, where
        it would only cost time.
        """
        if memory <= protection.OVERLOAD:
            self.waiting.clear()
            return
        self.waiting = writebuffers.track(self.waiting, self.read_open(), now)
        excess = (memory - protection.OVERLOAD) * limits.memory_bytes
        unread = [
            (key, one)
            for key, one in self.waiting.items()
            if now - one.since >= UNREAD_SECONDS
        ]
        unread.sort(key=lambda found: found[1].size, reverse=True)
        for key, one in unread:
            if excess <= 0.0:
                return
            excess -= one.size
            self.end(key, one)

    def end(self, key: Hashable, one: writebuffers.Unread) -> None:
        """Abort a connection."""
        log.info("connection aborted: {} bytes unread while memory is scarce", one.size)
        self.ended += 1
        del self.waiting[key]
        transport = self.read_open().get(key)
        if transport is not None:
            transport.abort()
