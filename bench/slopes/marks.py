"""What it takes to spread marks of crashing requests: python -m bench.slopes.marks."""

from __future__ import annotations

import argparse

import msgspec

from bench.slopes import members as population
from bench.slopes import size
from tealcove import ids
from tealcove.quarantine import marks, messages, sharing

SECONDS = 600.0


def make_marks(count: int) -> marks.Marks:
    """Return so many marks of one crash each."""
    found = marks.Marks(SECONDS)
    for number in range(count):
        crash = marks.Crash(
            ids.RequestId(f"req-{number:024d}"), ids.BackendServerId("engine-0001")
        )
        found.add_crash(f"{number:064x}", crash, population.NOW)
    return found


def message_bytes(found: marks.Marks) -> int:
    """Return the bytes of a message with all marks."""
    shared = tuple(found.shared(digest, population.NOW) for digest in found.marks)
    return len(msgspec.msgpack.encode(messages.MarksChanged(records=shared)))


def main() -> None:
    """Print the figures of each number of marks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--marks", type=int, nargs="+", default=[1, 8, 64, 500])
    parser.add_argument("--members", type=int, nargs="+", default=[8, 36, 145, 580])
    parser.add_argument("--runs", type=int, default=3)
    found = parser.parse_args()
    for count in found.marks:
        known = make_marks(count)
        checksum = size.repeat(
            lambda known=known: population.microseconds(
                lambda: known.checksum(population.NOW), 0.1
            ),
            found.runs,
        )
        print(
            f"{count} marks: message of {message_bytes(known)} bytes; checksum "
            f"{size.format_result(checksum)} us"
        )
    one = message_bytes(make_marks(1))
    for members in found.members:
        sent = one * sharing.REPEATS * (members - 1)
        print(f"a crash among {members} members: {sent} bytes out of one instance")


if __name__ == "__main__":
    main()
