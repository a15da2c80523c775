"""Choice of the server that keeps the copy of a stream."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence

from tealcove import ids
from tealcove.dispatch import backendview


def choose(
    granted: backendview.BackendView,
    servers: Sequence[backendview.BackendView],
    now: ids.Instant,
) -> backendview.BackendView | None:
    """Return the server with the most room for a copy; None if none may keep it.

    One in the data centre of the granted server comes first: a copy between data
    centres takes twice as long, and its bytes are expensive.
    """
    usable = [one for one in servers if may_keep(one, granted, now)]
    here = granted.spec.data_centre
    near = [one for one in usable if one.spec.data_centre == here]
    copies = count_copies(servers)
    return min(
        near or usable,
        key=lambda one: (copies[one.name] + len(one.runs)) / one.spec.slots,
        default=None,
    )


def may_keep(
    server: backendview.BackendView, granted: backendview.BackendView, now: ids.Instant
) -> bool:
    """Tell whether a server may keep a copy of a run on the granted one."""
    return (
        server is not granted
        and server.spec.version == granted.spec.version
        and server.is_available(now)
        and not server.is_failing
        and not server.is_probed
    )


def count_copies(
    servers: Iterable[backendview.BackendView],
) -> collections.Counter[ids.BackendServerId]:
    """Return the number of copies that each server keeps."""
    return collections.Counter(
        run.copy_at
        for one in servers
        for run in one.runs.values()
        if run.copy_at is not None
    )
