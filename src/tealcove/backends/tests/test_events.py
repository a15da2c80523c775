"""Tests of parsing server-sent events."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealcove.backends import engine, events

WHOLE = b': note\r\ndata: {"a":1}\n\nevent: x\ndata:{"b":2}\r\n\r\ndata: [DONE]\n\n'


@given(cuts=st.sets(st.integers(0, len(WHOLE))))
def test_split_position_does_not_change_events(cuts: set[int]) -> None:
    found = events.Events()
    ends = itertools.pairwise(sorted({0, len(WHOLE)} | cuts))
    taken = [data for start, end in ends for data in found.feed(WHOLE[start:end])]
    assert taken == [b'{"a":1}', b'{"b":2}', b"[DONE]"]


def test_line_without_end_is_limited() -> None:
    found = events.Events()
    with pytest.raises(engine.BrokenStreamError):
        found.feed(b"x" * (events.MAX_LINE_BYTES + 1))
