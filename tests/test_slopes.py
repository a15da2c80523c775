"""The arithmetic that extrapolates from measured sizes to the full one."""

import pytest
from bench.slopes import size, watch

LISTING = """\
ESTAB 0 0 127.0.0.1:7001 127.0.0.1:40000 users:(("python",pid=12,fd=9))
\t cubic rto:204 bytes_sent:{sent} bytes_received:20 segs_out:{out} segs_in:2
ESTAB 0 0 127.0.0.1:7002 127.0.0.1:40001 users:(("python",pid=123,fd=9))
\t cubic bytes_sent:7 bytes_received:7 segs_out:7 segs_in:7
"""


def sample(at: float, sent: int, out: int) -> watch.Sample:
    found = watch.parse_sockets(LISTING.format(sent=sent, out=out), 12)
    return watch.Sample(at, at / 10, 3 * watch.MIB, 5, found)


def test_a_line_extends_beyond_the_measured_sizes() -> None:
    line = size.fit([4, 8, 16], [11.0, 19.0, 35.0])
    assert line.slope == pytest.approx(2.0)
    assert line.cost_at(580) == pytest.approx(1163.0)


def test_distance_shows_how_far_a_figure_is_extrapolated() -> None:
    assert size.extrapolation_factor(580, [4, 8, 16]) == 36.25
    assert size.extrapolation_factor(10, [4, 8, 16]) == 1.0


def test_use_counts_only_the_connections_of_its_process() -> None:
    used = watch.use_between(sample(10.0, 100, 1), sample(12.0, 300, 5))
    assert used.sent == 100.0
    assert used.wire_out == 100.0 + 2 * watch.PACKET_BYTES
    assert used.received == 0.0
    assert used.core_percent == pytest.approx(10.0)


def test_a_new_connection_counts_from_its_start() -> None:
    first = watch.Sample(10.0, 1.0, 0, 0, {})
    assert watch.use_between(first, sample(12.0, 300, 5)).sent == 150.0


def test_a_result_is_printed_with_its_range() -> None:
    assert size.format_result(size.summarise([3.0, 1.0, 2.0])) == "2.0 (1.0 - 3.0)"
