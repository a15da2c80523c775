"""Tests that events don't depend on how their bytes are split."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator

import pytest
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


@pytest.mark.parametrize("digits", [18, 19, 5000])
def test_an_id_of_many_digits_is_no_number(digits: int) -> None:
    """Guards against a request that ends with 500 on a number that can't be read."""
    (event,) = events.Splitter().feed(b"id: " + b"1" * digits + b"\n\n")
    assert (event.number is None) == (digits > 18)


async def test_other_tasks_have_their_turn_between_pieces() -> None:
    """Guards against an event loop that one long part holds up."""
    turns = 0

    async def count() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    async def parts() -> AsyncIterator[bytes]:
        yield b"\n" * (4 * events.PIECE_BYTES)
        yield b"end"

    counting = asyncio.create_task(count())
    found = [piece async for piece in events.pieces(parts())]
    counting.cancel()
    assert b"".join(found) == b"\n" * (4 * events.PIECE_BYTES) + b"end"
    assert turns >= 3
