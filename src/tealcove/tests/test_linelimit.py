"""Log lines are bounded, counted, and never waited for."""

from __future__ import annotations

import os

from tealcove import linelimit


def test_lines_beyond_the_bound_are_counted():
    found = linelimit.LineLimit(3)
    assert [found.admits(linelimit.Weight.PLAIN, 1.0) for _ in range(5)] == [
        True
    ] * 3 + [False] * 2
    assert [found.admits(linelimit.Weight.WARNING, 1.5) for _ in range(4)] == [
        True
    ] * 3 + [False]
    assert found.dropped == 3
    assert found.admits(linelimit.Weight.PLAIN, 2.0)


def test_a_reader_that_stops_never_stops_the_writer():
    """The whole instance stands still, and its peers take it for dead.

    Symptom: no heartbeat and no answer. Sequence: whoever reads the log stops; the
    pipe fills up. Cause: writing a line waits for room in the pipe.
    """
    reading, writing = os.pipe()
    writer = linelimit.LineWriter(writing)
    line = b"x" * 1023 + b"\n"
    taken = 0
    while writer.write(line):
        taken += 1
    assert taken * len(line) > linelimit.MAX_BUFFERED_BYTES
    os.set_blocking(reading, False)
    # What was taken comes out whole and in order once somebody reads again.
    content = b""
    while writer.buffer:
        content += os.read(reading, 1 << 20)
        writer.flush()
    content += os.read(reading, 1 << 20)
    assert content == line * taken
    os.close(reading)
    os.close(writing)


def test_why_requests_ended_is_written_at_400_decisions_a_second() -> None:
    """A failed request's cause can't be looked up while there is an overload.

    Symptom: a third of the lines that tell why requests were refused are missing.
    Sequence: 400 decisions a second, each with lines of other kinds beside it. Cause:
    the bound on lines drops whatever comes last in its second.
    """
    found = linelimit.LineLimit(300)
    written = 0
    for number in range(400):
        at = 5.0 + number / 400
        found.admits(linelimit.Weight.PLAIN, at)
        found.admits(linelimit.Weight.PLAIN, at)
        written += found.admits(linelimit.Weight.FINAL, at)
    assert written == 400
