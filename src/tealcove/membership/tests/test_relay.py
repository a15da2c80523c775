"""The choice of relays."""

from __future__ import annotations

from tealcove import ids
from tealcove.membership import relay
from tealcove.peers import endpoint


def test_the_strongest_pass_heartbeats_on() -> None:
    """An instance with a small link and half a core passes on for 63.

    Symptom: its own callers wait. Sequence: the hash of its address comes first.
    Cause: the choice knew nothing of what instances can do.
    """
    alive = {endpoint.Endpoint("127.0.0.1", port): port // 8 for port in range(1, 11)}
    own = endpoint.Endpoint("127.0.0.1", 1)
    chosen = relay.RelaySelection().choose(own, alive, ids.Instant(0.0))
    assert {peer.port for peer in chosen} == {8, 9, 10}
