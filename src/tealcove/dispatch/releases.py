"""The slots of a cell in the order in which they are forecast to be released."""

from __future__ import annotations

import heapq
import typing

from tealcove import ids
from tealcove.dispatch import backendview


class Release(typing.NamedTuple):
    """The forecast release of one slot.

    A tuple, since long lines compare thousands of them for each forecast; the numbers
    differ, so that servers are never compared.
    """

    at: float
    number: int
    server: backendview.BackendView
    # Requests that run on the server once the slot is used again, that one included,
    # and once all of its slots are.
    batch: int
    full: int


class Usable(typing.NamedTuple):
    """A slot, and when a request of an entry may be sent there."""

    release: Release
    at: float
    # Whether it is still in the queue, as its first release.
    is_queued: bool


class Releases:
    """A queue of releases, by the first that an entry can use."""

    def __init__(self, found: list[Release]) -> None:
        self.heap = found
        heapq.heapify(found)

    def __len__(self) -> int:
        return len(self.heap)

    def first(self, entry: ids.InstanceId) -> Usable:
        """Return the slot that an entry can use first; it must be used or passed over.

        A server that wants no requests from the entry is usable later than its slots
        are released.
        """
        release = self.heap[0]
        if release.server.restrictions.rest_until(entry) <= release.at:
            return Usable(release, release.at, True)
        return self.first_after_rest(entry)

    def first_after_rest(self, entry: ids.InstanceId) -> Usable:
        """Remove and return the slot that an entry can use first."""
        best, best_at = None, float("inf")
        passed = []
        while self.heap and self.heap[0].at < best_at:
            release = heapq.heappop(self.heap)
            passed.append(release)
            at = max(release.at, release.server.restrictions.rest_until(entry))
            if at < best_at:
                best, best_at = release, at
        for release in passed:
            if release is not best:
                heapq.heappush(self.heap, release)
        return Usable(best, best_at, False)

    def use(self, usable: Usable, until: float) -> None:
        """Use a slot until an instant; all others of its server are busy then."""
        _, number, server, _, full = usable.release
        release = Release(until, number, server, full, full)
        if usable.is_queued:
            heapq.heapreplace(self.heap, release)
        else:
            heapq.heappush(self.heap, release)

    def pass_over(self, usable: Usable) -> None:
        """Leave a slot to the next ticket."""
        if not usable.is_queued:
            heapq.heappush(self.heap, usable.release)
