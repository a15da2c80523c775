"""Tests of how current an instance's list of servers is."""

from __future__ import annotations

import msgspec
import pytest

from tealcove import ids
from tealcove.catalog import following
from tealcove.membership import members
from tealcove.membership.tests import builders

NOW = ids.Instant(1000.0)
OWN_REVISION = 5


def follow(own_reaches: bool, *peers: tuple[int, bool, bool]) -> following.Following:
    """Return the following of an instance.

    Each peer: the revision of its list, whether it reached the store, and whether it
    is still heard.
    """
    known = builders.known()
    known.update_own(
        servers_revision=ids.Revision(OWN_REVISION), reaches_store=own_reaches
    )
    for number, (revision, reaches, is_heard) in enumerate(peers, 1):
        beat = msgspec.structs.replace(
            builders.heartbeat(number),
            servers_revision=ids.Revision(revision),
            reaches_store=reaches,
        )
        silence = 0.0 if is_heard else 5 * builders.SUSPECT_AFTER
        heard = ids.Instant(known.stalls.running(NOW) - silence)
        known.peers[beat.instance] = members.Member(beat, heard)
    return following.Following(known, ())


@pytest.mark.parametrize(
    ("own_reaches", "peers", "expected"),
    [
        (True, [], True),
        (True, [(5, True, True), (4, True, True)], True),
        # A peer knows more.
        (True, [(6, True, True)], False),
        # A peer reaches the store, and passes on what it learns.
        (False, [(5, True, True)], True),
        # The store is away for all.
        (False, [(5, False, True), (5, False, False)], True),
        # One that isn't heard may still reach the store.
        (False, [(5, False, True), (5, True, False)], False),
        (False, [(5, True, False)], False),
    ],
)
def test_a_list_is_current_unless_another_instance_may_know_more(
    own_reaches: bool, peers: list[tuple[int, bool, bool]], expected: bool
) -> None:
    assert follow(own_reaches, *peers).is_current(NOW) is expected
