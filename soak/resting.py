"""Finds servers that got requests in the rest that they had asked for."""

from __future__ import annotations

from soak import callers, deployment, faults, statements
from tealcove import ids
from tealcove.standins import poolserver

# Seconds after a rejection from which the rest is checked.
IN_FORCE_SECONDS = 0.5
# Requests of an instance that a server may get in a rest.
ALLOWED = 2


def excessive_rests(
    running: deployment.Deployment,
    injector: faults.FaultInjector,
    ended: list[callers.CallResult],
) -> tuple[int, list[str]]:
    """Return the number of checked rests, and the violations among them.

    A rest is checked if the instance and its way to the server were undisturbed.
    """
    members = {one.request_id: one.member for one in ended}
    servers = {server.name: server for server in running.servers}
    checked = 0
    found = []
    for rest in injector.stating.rests:
        server = servers[rest.server]
        for asked in server.rejections:
            if not rest.since <= asked.arrived_at < rest.until:
                continue
            member = members.get(asked.request_id, "")
            until = ids.Instant(asked.arrived_at + rest.seconds)
            if not injector.disturbances.is_undisturbed_between(
                asked.arrived_at, until, member, server.name
            ):
                continue
            checked += 1
            count = arrivals_in_rest(server, rest, asked, members)
            if count > ALLOWED:
                found.append(f"{rest.server} got {count} requests of {member}: {rest}")
    return checked, found


def arrivals_in_rest(
    server: poolserver.PoolServer,
    rest: statements.Rest,
    asked: poolserver.Rejection,
    members: dict[ids.RequestId, str],
) -> int:
    """Return how many requests of the instance that was rejected arrived in a rest."""
    since = asked.arrived_at + IN_FORCE_SECONDS
    until = asked.arrived_at + rest.seconds
    member = members.get(asked.request_id)
    return sum(
        since < one.arrived_at < until
        and members.get(one.request_id) == member
        # The next start of the server asked for nothing.
        and one.born == asked.born
        for one in (*server.runs, *server.rejections)
    )
