"""Finds servers that got more requests than the limit that they named."""

from __future__ import annotations

from collections.abc import Iterator

from soak import callers, deployment, faults, statements
from tealcove import ids

# Seconds after a server first named its limit from which it is checked.
IN_FORCE_SECONDS = 3.0
# What a server may get in a window: a multiple of its limit, and some requests beyond.
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# Seconds after a request of an instance at the server from which the instance has
# heard of the limit: the answer takes less than one, and half a one is allowed.
TOLD_SECONDS = 1.5


def excessive_windows(
    running: deployment.Deployment,
    injector: faults.FaultInjector,
    ended: list[callers.CallResult],
) -> tuple[int, list[str]]:
    """Return the number of checked requests, and the violations among them."""
    members = {one.request_id: one.member for one in ended}
    checked = 0
    found = []
    for limit in injector.stating.limits:
        arrived = list(arrivals(limit, running, injector, members))
        checked += len(arrived)
        found.extend(check(limit, arrived))
    return checked, found


def arrivals(
    limit: statements.Limited,
    running: deployment.Deployment,
    injector: faults.FaultInjector,
    members: dict[ids.RequestId, str],
) -> Iterator[ids.Instant]:
    """Yield when requests arrived from instances that knew of the limit."""
    told_at: dict[str, ids.Instant] = {}
    (server,) = [one for one in running.servers if one.name == limit.server]
    for run in server.runs:
        member = members.get(run.request_id, "")
        if not limit.since <= run.arrived_at < limit.until:
            continue
        told = told_at.setdefault(member, ids.Instant(run.arrived_at + TOLD_SECONDS))
        is_undisturbed = injector.disturbances.is_undisturbed(
            run.arrived_at, member, server.name
        )
        is_in_force = run.arrived_at >= limit.since + IN_FORCE_SECONDS
        if is_undisturbed and is_in_force and run.arrived_at >= told:
            yield run.arrived_at


def check(limit: statements.Limited, arrived: list[ids.Instant]) -> Iterator[str]:
    """Yield the windows with too many arrivals."""
    allowed = ALLOWED_FACTOR * limit.rate * WINDOW_SECONDS + ALLOWED_EXTRA
    for since in arrived:
        count = sum(since <= at <= since + WINDOW_SECONDS for at in arrived)
        if count > allowed:
            yield f"{limit.server} got {count} requests in {WINDOW_SECONDS} s: {limit}"
