"""Partitions of the network between instances in the test process."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from tealcove import clock
from tealcove.front import instance
from tealcove.peers import endpoint, mesh, message

Send = Callable[[endpoint.Endpoint, message.Message], bool]


class Partition:
    """Two groups of instances whose messages to each other are lost while it's active.

    The ways to the store, to backend servers and from callers stay as they are.
    """

    def __init__(self, near: Iterable[mesh.Mesh], far: Iterable[mesh.Mesh]) -> None:
        self.is_active = False
        near, far = list(near), list(far)
        for group, others in ((near, far), (far, near)):
            hidden = {other.listen for other in others}
            for one in group:
                one.send = self.wrap_send(one.send, hidden)

    def wrap_send(self, send: Send, hidden: set[endpoint.Endpoint]) -> Send:
        """Return `send`, wrapped to drop messages to hidden peers while active."""

        def send_unless_cut(peer: endpoint.Endpoint, sent: message.Message) -> bool:
            if self.is_active and peer in hidden:
                return False
            return send(peer, sent)

        return send_unless_cut


def know_only(group: list[instance.Instance]) -> bool:
    """Tell whether only the instances of a group serve, as each of them sees it."""
    wanted = {one.name for one in group}
    return all(
        {peer.instance for peer in one.members.serving(clock.now())} == wanted
        for one in group
    )
