"""Tests that events don't depend on how their bytes are split."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from tealcove.ingress import events

LINES = st.lists(
    st.text(st.characters(codec="utf-8", exclude_characters="\r\n"), min_size=1),
    min_size=1,
    max_size=3,
)


@st.composite
def streams(draw: st.DrawFn) -> tuple[bytes, list[bytes]]:
    end = draw(st.sampled_from(("\n", "\r\n")))
    found = []
    for number, lines in enumerate(draw(st.lists(LINES, max_size=6)), 1):
        text = f"id: {number}{end}" + "".join(f"data: {x}{end}" for x in lines) + end
        found.append(text.encode())
    return b"".join(found), found


@given(streams(), st.data())
def test_split_position_does_not_change_events(
    stream: tuple[bytes, list[bytes]], data: st.DataObject
) -> None:
    content, expected = stream
    cuts = data.draw(st.lists(st.integers(0, len(content)), max_size=8))
    bounds = [0, *sorted(cuts), len(content)]
    splitter = events.Splitter()
    found = []
    for start, end in itertools.pairwise(bounds):
        found.extend(splitter.feed(content[start:end]))
    assert splitter.remainder == b""
    # Two terminators may be taken for one when a split lies between \r and \n.
    assert b"".join(event.content for event in found) == content
    numbers = [event.number for event in found if event.number is not None]
    assert numbers == list(range(1, len(expected) + 1))


@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=5))
def test_no_byte_is_lost_or_duplicated(content: bytes, cuts: list[int]) -> None:
    splitter = events.Splitter()
    bounds = [0, *sorted(min(cut, len(content)) for cut in cuts), len(content)]
    found = b""
    for start, end in itertools.pairwise(bounds):
        found += b"".join(e.content for e in splitter.feed(content[start:end]))
    assert found + splitter.remainder == content


def test_order_checker_rejects_gaps_and_duplicates() -> None:
    order = events.OrderChecker(None)
    assert order.accept(events.Event(b"", 4))
    assert order.accept(events.Event(b"", 5))
    assert not order.accept(events.Event(b"", 5))
    assert not order.accept(events.Event(b"", 7))
    assert order.last == 5
    assert order.accept(events.Event(b"", 6))


def test_order_checker_knows_whether_its_number_tells_what_was_received() -> None:
    """Guards against streams that go on after an event that is then sent twice."""
    order = events.OrderChecker(None)
    assert order.accept(events.Event(b"", 1))
    assert order.is_numbered
    assert order.accept(events.Event(b"", None))
    assert (order.last, order.is_numbered) == (1, False)
