"""Tests of the estimate of a server's prefix cache."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from tealcove.backends import engine
from tealcove.dispatch import prefixindex


def event(sequence: int, kind: str, *blocks: int) -> engine.CacheEvents:
    return engine.CacheEvents((engine.CacheEvent(sequence, kind, blocks),), sequence)


def test_grants_count_at_once_and_events_late() -> None:
    index = prefixindex.PrefixIndex()
    index.record_grant((1, 2, 3))
    assert index.match((1, 2, 3, 4)) == 3
    index.apply_events(event(1, "removed", 3))
    index.apply_events(event(2, "stored", 7))
    assert index.match((1, 2, 3, 4)) == 2
    assert index.match((7, 8)) == 1
    assert index.match((5,)) == index.match(()) == 0


def test_a_gap_makes_what_was_known_before_it_uncertain() -> None:
    """Guards against sending prompts to a server that has evicted their prefix.

    The removal event was lost, which a missing sequence number shows.
    """
    index = prefixindex.PrefixIndex()
    index.apply_events(event(1, "stored", 1, 2))
    index.apply_events(event(3, "stored", 8, 9))
    assert index.match((1, 2)) == 2 * prefixindex.UNCERTAIN_WEIGHT
    assert index.match((8, 9)) == 2
    index.record_grant((1, 2))
    assert index.match((1, 2)) == 2


def test_old_events_are_ignored_and_a_new_sequence_clears_the_index() -> None:
    index = prefixindex.PrefixIndex()
    index.apply_events(event(1, "stored", 1))
    index.apply_events(event(2, "stored", 2))
    index.apply_events(engine.CacheEvents((engine.CacheEvent(1, "removed", (1,)),), 2))
    assert index.match((1,)) == 1
    index.apply_events(event(1, "stored", 5))
    assert (index.match((1,)), index.last_sequence) == (0, 0)


@hypothesis.given(
    st.lists(st.lists(st.integers(0, 30), unique=True, max_size=12)),
    st.integers(1, 10),
)
def test_memory_stays_within_the_server_s_capacity(
    prompts: list[list[int]], capacity: int
) -> None:
    index = prefixindex.PrefixIndex()
    index.set_capacity(capacity)
    for number, blocks in enumerate(prompts):
        index.record_grant(tuple(blocks))
        assert index.match(tuple(blocks)) == min(len(blocks), capacity)
        index.apply_events(event(number + 1, "stored", *blocks))
        assert len(index.blocks) <= capacity
    index.set_capacity(0)
    assert index.capacity == capacity
