"""Finds requests that reached a server too long after it had left."""

from __future__ import annotations

from tests import platform_site

from soak import callers, deployment, disturbances, faults
from tealcove import ids
from tealcove.platform import names
from tealcove.standins import poolserver

# Seconds after the store's row from which a leaving server must get no requests.
DRAIN_SECONDS = 2.0
# Seconds for which an instance must have known that a server left: one that gathers
# changes may miss the last before the store is away.
KNOWN_SECONDS = 1.0


def late_arrivals(
    running: deployment.Deployment,
    injector: faults.FaultInjector,
    ended: list[callers.CallResult],
) -> tuple[int, list[str]]:
    """Return the number of checked requests, and the violations among them.

    Only requests are checked that an undisturbed instance forwarded over an
    undisturbed path.
    """
    members = {one.request_id: one.member for one in ended}
    watched = 0
    found = []
    for server in running.servers:
        for run in server.runs:
            member = members.get(run.request_id, "")
            if not injector.disturbances.is_undisturbed(
                run.arrived_at, member, disturbances.STORE
            ):
                continue
            over = [
                leave
                for leave in injector.leaves
                if is_over(leave, injector, run.arrived_at)
            ]
            watched += bool(over)
            is_undisturbed_path = injector.disturbances.is_undisturbed(
                run.arrived_at, server.name
            )
            found.extend(
                f"{run.request_id} of {member} reached {server.name} "
                f"{run.arrived_at - leave.since:.2f} s after it had left"
                for leave in over
                if leave.server == server.name and is_undisturbed_path
            )
    return watched, found


def late_after_told(
    running: deployment.Deployment,
    injector: faults.FaultInjector,
    ended: list[callers.CallResult],
) -> tuple[int, list[str]]:
    """Return the number of checked requests, and the violations among them.

    An instance that has passed on an answer which says that its server leaves must not
    send it a request that a caller sent later, whatever else has failed. Only a stop or
    a restart of its own process excuses it.
    """
    checked = 0
    found = []
    for leave in injector.stating.leaves:
        (server,) = [one for one in running.servers if one.name == leave.server]
        ran = {
            run.request_id
            for run in server.runs
            if run.born == leave.born and run.arrived_at >= leave.since
        }
        told_at: dict[str, ids.Instant] = {}
        for one in sorted(ended, key=lambda one: one.ended_at):
            if one.request_id in ran and is_of(one.answer, leave.server):
                told_at.setdefault(one.member, one.ended_at)
        for one in ended:
            told = told_at.get(one.member)
            if told is None or not told + DRAIN_SECONDS < one.sent_at < leave.until:
                continue
            process = disturbances.process_of(one.member)
            if not injector.disturbances.is_undisturbed_between(
                told, one.ended_at, process
            ):
                continue
            checked += 1
            if one.request_id in ran:
                late = one.sent_at - told
                found.append(
                    f"{one.request_id} of {one.member} reached {leave.server}, sent "
                    f"{late:.2f} s after an answer that said that it leaves"
                )
    return checked, found


def is_of(answer: platform_site.Answer, server: str) -> bool:
    """Tell whether an answer, or the head of a broken one, came from a server.

    An instance answers itself if it got no answer, whatever the server has said.
    """
    return answer.headers.get(names.SIGNATURE) == poolserver.signature_of(server)


def is_over(
    leave: faults.Leave, injector: faults.FaultInjector, at: ids.Instant
) -> bool:
    """Tell whether a server had left so long ago that it must get no requests."""
    is_acknowledged = injector.disturbances.is_undisturbed(
        leave.since, disturbances.STORE
    )
    return is_acknowledged and leave.since + DRAIN_SECONDS < at < leave.until


def used_after_leaving(
    running: deployment.Deployment,
    injector: faults.FaultInjector,
    ended: list[callers.CallResult],
) -> tuple[int, list[str]]:
    """Return the number of checked requests, and the violations among them.

    An instance that has known since before an absence that a server left must not use
    it during the absence and after the return, although the copy has its old row.
    """
    members = {one.request_id: one.member for one in ended}
    checked = 0
    found = []
    for leave in injector.leaves:
        for server in running.servers:
            for run in server.runs:
                member = members.get(run.request_id, "")
                if not is_bound(leave, injector, member, run.arrived_at):
                    continue
                checked += 1
                if server.name == leave.server:
                    found.append(
                        f"{run.request_id} of {member} reached {server.name} "
                        f"{run.arrived_at - leave.since:.2f} s after it had left, "
                        "by an entry of the restored store"
                    )
    return checked, found


def is_bound(
    leave: faults.Leave,
    injector: faults.FaultInjector,
    member: str,
    at: ids.Instant,
) -> bool:
    """Return whether an instance knew of a leave before an absence that spans `at`."""
    is_spanned = any(
        leave.since + KNOWN_SECONDS < one.away_since < at
        and at < one.over_at + disturbances.SETTLE_SECONDS
        for one in injector.restoring.returns
    )
    if not is_spanned or not leave.since + DRAIN_SECONDS < at < leave.until:
        return False
    known_at = ids.Instant(leave.since + KNOWN_SECONDS)
    return injector.disturbances.is_undisturbed(
        known_at, member, disturbances.STORE
    ) and injector.disturbances.is_undisturbed_between(
        known_at, at, member, disturbances.process_of(member)
    )
