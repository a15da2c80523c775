"""Choice of the instances through which a request can reach a server."""

from __future__ import annotations

import random

import msgspec

from tealcove import ids
from tealcove.dispatch import paths
from tealcove.membership import members, messages

# Helpers that one attempt may ask. Right after paths are lost, the first ones may have
# lost theirs too.
MAX_HELPERS = 6


class Helper(msgspec.Struct, frozen=True):
    """An instance that sends requests to servers for others."""

    instance: ids.InstanceId
    # Where it takes them.
    url: str


class Helpers:
    """Finds helpers in the membership, by what is known of their paths."""

    def __init__(self, known: members.Members, evidence: paths.Paths) -> None:
        self.members = known
        self.paths = evidence

    def choose(self, server: ids.BackendServerId, now: ids.Instant) -> list[Helper]:
        """Return helpers for a server, the first to try first.

        Those of this data centre come first; among these the order is random, so that
        their own callers share the cost.
        """
        own = self.members.own
        found = [
            heartbeat
            for heartbeat in self.members.serving(now)
            if self.may_help(heartbeat, server, now)
        ]
        random.shuffle(found)
        found.sort(key=lambda heartbeat: heartbeat.data_centre != own.data_centre)
        return [
            Helper(h.instance, f"http://{h.peer_host}:{h.relay_port}")
            for h in found[:MAX_HELPERS]
        ]

    def may_help(
        self,
        heartbeat: messages.Heartbeat,
        server: ids.BackendServerId,
        now: ids.Instant,
    ) -> bool:
        """Tell whether an instance passes requests on and may reach a server."""
        return (
            heartbeat.instance != self.members.own.instance
            and heartbeat.relay_port != 0
            and heartbeat.reaches_servers
            and not self.paths.is_lost(heartbeat.instance, server, now)
        )
