"""The order of waiting tickets while grants change it."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator

from tealcove.dispatch import waitingline, waitingticket

SortKeyOf = Callable[[waitingticket.Waiting], waitingline.SortKey]


def in_turn(
    line: Iterable[waitingticket.Waiting], sort_key: SortKeyOf
) -> Iterator[waitingticket.Waiting]:
    """Yield the tickets in order; a grant may move the later ones of its account back.

    Where several slots become free at once, such as after a takeover, one account would
    get all of them if the order were that before the first grant.
    """
    heap = [(sort_key(waiting), place, waiting) for place, waiting in enumerate(line)]
    heapq.heapify(heap)
    while heap:
        known, place, waiting = heap[0]
        key = sort_key(waiting)
        if key > known:
            heapq.heapreplace(heap, (key, place, waiting))
            continue
        heapq.heappop(heap)
        yield waiting
