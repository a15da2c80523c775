"""Settings of all tests; passes over those that KNOWN-RED.txt names, where asked to."""

from __future__ import annotations

import pathlib

import hypothesis
import pytest

# An example that takes longer than usual shows a busy machine, and no fault.
hypothesis.settings.register_profile("tealcove", deadline=None)
hypothesis.settings.load_profile("tealcove")


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that names the list."""
    parser.addoption(
        "--known-red",
        type=pathlib.Path,
        help='a file with "test id, cause, issue" a line; just these are skipped',
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Skip the named tests.

    A test that is deselected instead leaves its snapshot unused, and a run with an
    unused snapshot fails although every test has passed.
    """
    path = config.getoption("known_red")
    if path is None or not path.exists():
        return
    known = dict(read(path.read_text()))
    for item in items:
        reason = known.get(item.nodeid)
        if reason is not None:
            item.add_marker(pytest.mark.skip(reason=f"known red: {reason}"))


def read(content: str) -> list[tuple[str, str]]:
    """Return the test and the rest of each line that isn't a comment."""
    lines = [line for line in content.splitlines() if line and line[0] != "#"]
    return [(line.partition(", ")[0], line.partition(", ")[2]) for line in lines]
