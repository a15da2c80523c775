"""What the stand-in of a backend server states of its load."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.dispatch import statedload
from tealcove.standins import pool_load

SLOTS = 5
NOW = ids.Instant(10.0)


def test_a_true_statement_says_how_long_work_takes():
    """A test of true statements would pass with false ones."""
    found = pool_load.PoolLoad(pool_load.Stating.TRULY, time_factor=2.5, others=1)
    assert found.header(2, SLOTS, NOW) == "3,0,5,250"
    assert found.seconds(0.2, 2) == pytest.approx(0.5)


def test_a_late_statement_says_what_was_true():
    """A late statement of the stand-in was as fresh as any."""
    found = pool_load.PoolLoad(pool_load.Stating.LATE, time_factor=2.5)
    found.header(1, SLOTS, NOW)
    found.time_factor = 1.0
    assert found.header(2, SLOTS, ids.Instant(NOW + 0.9)) == "1,0,5,250"
    assert found.header(3, SLOTS, ids.Instant(NOW + 2.0)) == "2,0,5,100"


def test_a_false_statement_says_the_opposite():
    """A false statement of the stand-in was hardly false."""
    found = pool_load.PoolLoad(pool_load.Stating.FALSELY, time_factor=2.5)
    assert found.header(1, SLOTS, NOW) == "4,0,5,40"


def test_without_the_fourth_figure_or_the_header():
    """The stand-in stated more than its settings said."""
    found = pool_load.PoolLoad(pool_load.Stating.TRULY, states_time=False, waiting=2)
    assert found.header(1, SLOTS, NOW) == "1,2,5"
    assert pool_load.PoolLoad().header(1, SLOTS, NOW) is None


@pytest.mark.parametrize(("running", "factor"), [(1, 1.0), (2, 1.0), (3, 1.5), (9, 3)])
def test_work_slows_down_when_the_server_is_nearly_full(
    running: int, factor: float
) -> None:
    """A full server of the stand-in was as fast as an empty one."""
    found = pool_load.PoolLoad(slowdown=(1.0, 1.0, 1.5, 3.0))
    assert found.seconds(0.1, running) == pytest.approx(0.1 * factor)


def test_a_constant_statement_depends_on_nothing() -> None:
    """Soaks of servers that always state the same tested statements that change."""
    found = pool_load.PoolLoad(pool_load.Stating.CONSTANTLY, time_factor=2.5)
    found.constant = "4,4,4,900"
    stated = {found.header(n, 4, ids.Instant(float(n))) for n in range(5)}
    assert stated == {"4,4,4,900"}


@pytest.mark.parametrize("stating", pool_load.Stating)
def test_whatever_is_stated_can_be_read(stating: pool_load.Stating) -> None:
    """The stand-in's statements were ignored, so that tests showed nothing."""
    found = pool_load.PoolLoad(stating, time_factor=1 / 3)
    text = found.header(1, SLOTS, NOW)
    assert (text is None) is (stating is pool_load.Stating.NOT)
    assert text is None or statedload.decode(text.split(",")) is not None
