"""The selection of relays."""

from __future__ import annotations

from tealcove import ids
from tealcove.membership import relay
from tealcove.peers import endpoint


def test_the_strongest_instances_are_the_relays() -> None:
    """An instance with a slow link and half a core is a relay for 63.

    Symptom: its own callers wait. Sequence: its address has the highest hash.
    Cause: the selection ignored the instances' capacity.
    """
    alive = {endpoint.Endpoint("127.0.0.1", port): port // 8 for port in range(1, 11)}
    own = endpoint.Endpoint("127.0.0.1", 1)
    chosen = relay.RelaySelection().choose(own, alive, ids.Instant(0.0))
    assert {peer.port for peer in chosen} == {8, 9, 10}
