"""Tests of the rate limit for log lines and of the non-blocking writer."""

from __future__ import annotations

import os

from tealcove import linelimit


def test_lines_above_the_limit_are_counted():
    found = linelimit.LineLimit(3)
    assert [found.admits(linelimit.Weight.PLAIN, 1.0) for _ in range(5)] == [
        True
    ] * 3 + [False] * 2
    assert [found.admits(linelimit.Weight.WARNING, 1.5) for _ in range(4)] == [
        True
    ] * 3 + [False]
    assert found.dropped == 3
    assert found.admits(linelimit.Weight.PLAIN, 2.0)


def test_a_stalled_reader_does_not_block_the_writer():
    """Guard against an instance that blocks and is considered dead by its peers.

    When the reader of the log stops, the pipe fills up; a blocking write of a line
    would stop all heartbeats and answers.
    """
    reading, writing = os.pipe()
    writer = linelimit.LineWriter(writing)
    line = b"x" * 1023 + b"\n"
    taken = 0
    while writer.write(line):
        taken += 1
    assert taken * len(line) > linelimit.MAX_BUFFERED_BYTES
    os.set_blocking(reading, False)
    # Accepted lines arrive complete and in order once the reader continues.
    content = b""
    while writer.buffer:
        content += os.read(reading, 1 << 20)
        writer.flush()
    content += os.read(reading, 1 << 20)
    assert content == line * taken
    os.close(reading)
    os.close(writing)


def test_final_lines_are_written_at_400_decisions_a_second() -> None:
    """Guard against losing the causes of failed requests during an overload.

    At 400 decisions a second, each with lines of other kinds, a plain rate limit drops
    the last lines of each second: a third of the lines with the cause of a refusal.
    """
    found = linelimit.LineLimit(300)
    written = 0
    for number in range(400):
        at = 5.0 + number / 400
        found.admits(linelimit.Weight.PLAIN, at)
        found.admits(linelimit.Weight.PLAIN, at)
        written += found.admits(linelimit.Weight.FINAL, at)
    assert written == 400
