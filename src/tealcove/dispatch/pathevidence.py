"""Evidence of which instances reach which backend servers."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable

import logbook
import msgspec

from tealcove import ids
from tealcove.dispatch import messages, paths

log = logbook.Logger("dispatch")

# Seconds for which a failed connection says something of its path. A server that comes
# back, and a path, are tried again after that.
LOSS_SECONDS = 2.5
# Instances that must fail to reach a server before it counts as unreachable for all.
# One may have lost its own path.
WITNESSES = 2
# Servers that others reach and an instance doesn't, from which on it counts as cut off
# from all.
LOST_TO_BE_CUT_OFF = 2
# Servers to which an instance fails to connect without connecting to any, from which on
# another one should be preferred. A single slow connection says little.
FAILED_TO_BE_DOUBTFUL = 2
NEVER = ids.Instant(-math.inf)


class ServerPaths(msgspec.Struct):
    """What is known of the paths to one server."""

    # When an instance last failed to reach it, since that one reached it.
    lost_at: dict[ids.InstanceId, ids.Instant]
    # When it last answered any instance, and when it was last seen to crash.
    answered_at: ids.Instant = NEVER
    crashed_at: ids.Instant = NEVER


class PathEvidence(paths.Paths):
    """The connections of all instances to servers, as this process knows them.

    A server that another instance reaches is alive, so an instance that has failed to
    reach it has lost its path. What such an instance fails to reach says nothing of the
    servers, until it reaches one again.
    """

    def __init__(self, count_instances: Callable[[ids.Instant], int]) -> None:
        # Returns the number of serving instances.
        self.count_instances = count_instances
        self.servers: dict[ids.BackendServerId, ServerPaths] = {}
        # The servers to which an instance was shown to have no path since it last
        # reached any, and when it failed to.
        self.lost_paths: dict[
            ids.InstanceId, dict[ids.BackendServerId, ids.Instant]
        ] = {}
        # The servers that an instance failed to reach and hasn't reached since, with
        # the time, and when it last connected to any server.
        self.failed: dict[ids.InstanceId, dict[ids.BackendServerId, ids.Instant]] = {}
        self.connected_at: dict[ids.InstanceId, ids.Instant] = {}

    def record_lost(
        self,
        instances: Iterable[ids.InstanceId],
        server: ids.BackendServerId,
        at: ids.Instant,
    ) -> None:
        """Record that instances failed to connect to a server at an instant."""
        found = self.servers.setdefault(server, ServerPaths({}))
        for instance in instances:
            found.lost_at[instance] = max(at, found.lost_at.get(instance, at))
            self.failed.setdefault(instance, {})[server] = found.lost_at[instance]

    def record_crash(
        self, instance: ids.InstanceId, server: ids.BackendServerId, now: ids.Instant
    ) -> None:
        """Record that a server refused connections after it broke one of an instance.

        A lost path may look the same, so an instance that lost one isn't believed.
        """
        if not self.recent_losses(instance, now):
            self.servers.setdefault(server, ServerPaths({})).crashed_at = now

    def record_reached(
        self,
        instance: ids.InstanceId,
        server: ids.BackendServerId,
        connected_at: ids.Instant,
        answered_at: ids.Instant,
    ) -> None:
        """Record when a server answered on a connection that an instance made.

        The connection may live on after the path for new ones is lost, so the answer
        tells of the server only.
        """
        found = self.servers.setdefault(server, ServerPaths({}))
        found.answered_at = max(found.answered_at, answered_at)
        if found.lost_at.get(instance, connected_at) <= connected_at:
            found.lost_at.pop(instance, None)
            self.remove_failure(instance, server)
        last = self.connected_at.get(instance, connected_at)
        self.connected_at[instance] = max(last, connected_at)
        lost = self.lost_paths.get(instance)
        if lost is not None and max(lost.values()) <= connected_at:
            del self.lost_paths[instance]
            log.info("{} reaches backend servers again, first {}", instance, server)
        for other, lost_at in found.lost_at.items():
            has_connected = self.connected_at.get(other, NEVER) >= lost_at
            has_answered_since = 0.0 <= answered_at - lost_at <= LOSS_SECONDS
            if has_answered_since and not has_connected:
                self.add_lost_path(other, server, lost_at)

    def remove_failure(
        self, instance: ids.InstanceId, server: ids.BackendServerId
    ) -> None:
        """Forget that an instance failed to reach a server."""
        failed = self.failed.get(instance, {})
        failed.pop(server, None)
        if not failed:
            self.failed.pop(instance, None)

    def add_lost_path(
        self,
        instance: ids.InstanceId,
        server: ids.BackendServerId,
        lost_at: ids.Instant,
    ) -> None:
        """Record that an instance has no path to a server that is alive."""
        lost = self.lost_paths.setdefault(instance, {})
        if server not in lost:
            log.info("{} has no path to {}, which others reach", instance, server)
        lost[server] = lost_at

    def is_cut_off(self, instance: ids.InstanceId, now: ids.Instant) -> bool:
        """Tell whether an instance seems to have lost its paths to all servers."""
        return len(self.recent_losses(instance, now)) >= LOST_TO_BE_CUT_OFF

    def is_shown_lost(
        self, instance: ids.InstanceId, server: ids.BackendServerId, now: ids.Instant
    ) -> bool:
        """Tell whether an instance has no path to a server that others reach."""
        return self.is_cut_off(instance, now) or server in self.recent_losses(
            instance, now
        )

    def recent_losses(
        self, instance: ids.InstanceId, now: ids.Instant
    ) -> Collection[ids.BackendServerId]:
        """Return the servers to which an instance was shown to have no path.

        Empty if the last one was shown long ago: the instance may reach them again, and
        tell others than this process.
        """
        lost = self.lost_paths.get(instance)
        if lost is None or now - max(lost.values()) > LOSS_SECONDS:
            return ()
        return lost.keys()

    def is_doubtful(self, instance: ids.InstanceId, now: ids.Instant) -> bool:
        """Tell whether an instance fails to connect to one server after another.

        Another one should be preferred, whether its paths or the servers are at fault.
        """
        since = max(now - LOSS_SECONDS, self.connected_at.get(instance, NEVER))
        failed = self.failed.get(instance, {})
        return sum(at > since for at in failed.values()) >= FAILED_TO_BE_DOUBTFUL

    def is_lost(
        self, instance: ids.InstanceId, server: ids.BackendServerId, now: ids.Instant
    ) -> bool:
        """See Paths."""
        return self.is_cut_off(instance, now) or self.has_failed(instance, server, now)

    def reaches_all(self, instance: ids.InstanceId) -> bool:
        """See Paths."""
        return instance not in self.failed and instance not in self.lost_paths

    def has_failed(
        self, instance: ids.InstanceId, server: ids.BackendServerId, now: ids.Instant
    ) -> bool:
        """Tell whether an instance lately failed to reach a server."""
        found = self.servers.get(server)
        lost_at = NEVER if found is None else found.lost_at.get(instance, NEVER)
        return now - lost_at <= LOSS_SECONDS

    def is_unreachable(self, server: ids.BackendServerId, now: ids.Instant) -> bool:
        """See Paths."""
        found = self.servers.get(server)
        if found is None:
            return False
        if now - found.crashed_at <= LOSS_SECONDS and (
            found.crashed_at > found.answered_at
        ):
            return True
        witnesses = [
            instance
            for instance, lost_at in found.lost_at.items()
            if lost_at > found.answered_at
            and now - lost_at <= LOSS_SECONDS
            and not self.recent_losses(instance, now)
        ]
        return len(witnesses) >= self.count_needed(now)

    def count_needed(self, now: ids.Instant) -> int:
        """Return how many instances must fail to reach a server that is lost for all.

        Where others are known to lose paths, one may be all that is left to tell.
        """
        known = sum(bool(self.recent_losses(one, now)) for one in self.lost_paths)
        return max(1, min(WITNESSES, self.count_instances(now) - known))

    def expire(self, now: ids.Instant) -> None:
        """Forget what says nothing any more."""
        for server, found in list(self.servers.items()):
            found.lost_at = {
                instance: lost_at
                for instance, lost_at in found.lost_at.items()
                if now - lost_at <= LOSS_SECONDS
            }
            if not found.lost_at and now - found.answered_at > LOSS_SECONDS:
                del self.servers[server]
        for instance, failed in list(self.failed.items()):
            if now - max(failed.values()) > LOSS_SECONDS:
                del self.failed[instance]
        for instance, at in list(self.connected_at.items()):
            if now - at > LOSS_SECONDS:
                del self.connected_at[instance]
        for instance in list(self.lost_paths):
            if not self.recent_losses(instance, now):
                del self.lost_paths[instance]

    def forget(self, instance: ids.InstanceId) -> None:
        """Forget an instance whose process has ended."""
        for known in (self.lost_paths, self.failed, self.connected_at):
            known.pop(instance, None)
        for found in self.servers.values():
            found.lost_at.pop(instance, None)

    def record_done(
        self, entry: ids.InstanceId, done: messages.Done, now: ids.Instant
    ) -> bool:
        """Record what the end of a request shows; return whether its server is reached.

        `entry` is the instance that accepted the request.
        """
        if done.outcome is messages.Outcome.CRASHED:
            self.record_crash(entry, done.server, now)
        if done.outcome in paths.LOST_OUTCOMES:
            self.record_lost(done.lost or (entry,), done.server, now)
            return False
        connected_at = ids.Instant(now - done.total_seconds)
        self.record_lost(done.lost, done.server, connected_at)
        is_completed = done.outcome is messages.Outcome.COMPLETED
        reached = done.reached or (entry if is_completed else None)
        if reached:
            # Another request may have ended because the server fell silent.
            has_answered = is_completed or done.is_rejected
            answered_at = now if has_answered else connected_at
            self.record_reached(reached, done.server, connected_at, answered_at)
        return bool(reached)
