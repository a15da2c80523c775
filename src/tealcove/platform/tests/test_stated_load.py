"""The load that backend servers state in the headers of their answers."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from tealcove.dispatch import messages
from tealcove.platform import answers, backendlink, names
from tealcove.platform.tests import test_answers


def decode(*lines: str) -> messages.StatedLoad | None:
    """Return the load that a response with these header lines states."""
    found = test_answers.response(200, *((names.LOAD, line) for line in lines))
    return answers.statement_of(found).load


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("3,1,5", messages.StatedLoad(3.0, 1.0, 5.0)),
        ("3, 1, 5, 250", messages.StatedLoad(3.0, 1.0, 5.0, 2.5)),
        ("0,0,5,68.5", messages.StatedLoad(0.0, 0.0, 5.0, 0.685)),
        ("", None),
        ("3,1", None),
        ("3,1,5,100,1", None),
        ("3,1,5,0", None),
        # A hundredth of it is 0.
        ("3,1,5,1e-323", None),
        ("3,1,5,-100", None),
        ("-3,1,5", None),
        ("3,1,5,", None),
        ("3,1,5,nan", None),
        ("3,1,5,inf", None),
        ("3,1,5,99999999", None),
        ("99999999,1,5", None),
        ("3,1,5,1_00", None),
        ("three,1,5", None),
    ],
)
def test_only_three_or_four_plain_numbers_count(
    line: str, expected: messages.StatedLoad | None
) -> None:
    """A garbled header kept requests from a sound server."""
    assert decode(line) == expected


def test_a_response_without_the_header_states_nothing():
    """A load of zero was read into answers that don't state any."""
    assert decode() is None


@hypothesis.given(strategies.lists(strategies.text(), max_size=3))
def test_no_text_fails_a_request(lines: list[str]) -> None:
    """An answer was lost because its header couldn't be read."""
    found = decode(*lines)
    assert found is None or found.time_factor is None or found.time_factor > 0.0


@hypothesis.given(
    strategies.lists(
        strategies.one_of(strategies.floats(), strategies.integers()), max_size=5
    )
)
def test_no_number_gives_a_factor_that_decisions_fail_on(figures: list[float]) -> None:
    """A figure of 0, infinity or a huge one made predictions fail."""
    found = decode(",".join(map(str, figures)))
    if found is None:
        return
    assert len(figures) in (3, 4)
    assert 0.0 <= max(found.running, found.waiting, found.slots) <= 1e6
    assert found.time_factor is None or 0.0 < found.time_factor <= 100.0


def test_callers_never_see_the_header():
    """Callers could have chosen instances by the load of servers behind them."""
    assert names.LOAD.lower() in backendlink.DROPPED_HEADERS
