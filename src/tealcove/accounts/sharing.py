"""Spreading of ordered weights from instance to instance."""

from __future__ import annotations

import random

from tealcove import ids
from tealcove.accounts import messages, orders
from tealcove.membership import heartbeats, members
from tealcove.membership import messages as membership_messages
from tealcove.peers import mesh
from tealcove.quarantine import sharing

CHECKSUM_FIELD = "weights"


class OrderSharer(sharing.Sharer):
    """Shares orders among the instances that keep them, and with no others."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        heart: heartbeats.HeartbeatService,
        held: orders.Orders,
    ) -> None:
        super().__init__(
            transport, known, heart, held, messages.WeightsChanged, CHECKSUM_FIELD
        )

    def takes_part(self, heartbeat: membership_messages.Heartbeat) -> bool:
        """See Sharer; instances without the settings, or of an older release, don't."""
        return self.checksum_of(heartbeat) != 0

    def compare_all(self, now: ids.Instant) -> None:
        """Compare with all live peers, as they are known.

        In a large group, heartbeats that didn't change are received by relays only,
        which may be instances that keep no orders. The order is random, so that one
        peer that always differs doesn't keep the others from being told.
        """
        peers = [one for one in self.members.alive(now) if one is not self.members.own]
        random.shuffle(peers)
        for heartbeat in peers:
            self.compare(heartbeat)
