"""The list of known failures, which are skipped."""

from __future__ import annotations

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[1]


def run(*arguments: str, folder: pathlib.Path) -> subprocess.CompletedProcess[str]:
    """Run pytest with the project's own conftest in a folder."""
    (folder / "conftest.py").write_text((ROOT / "conftest.py").read_text())
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments]
    return subprocess.run(
        command, cwd=folder, capture_output=True, text=True, timeout=60, check=False
    )


def test_a_skipped_test_leaves_its_snapshot_in_use(tmp_path: pathlib.Path) -> None:
    """Guards against a failed run in which every test has passed.

    A run ended with "530 passed", "1 snapshot unused" and exit code 1: a test with a
    snapshot was on the list and was deselected instead of skipped, so that its
    snapshot counted as unused.
    """
    (tmp_path / "test_it.py").write_text(
        "def test_one(snapshot):\n    assert 1 == snapshot\n"
        "def test_other(snapshot):\n    assert 2 == snapshot\n"
    )
    run("--snapshot-update", folder=tmp_path)
    (tmp_path / "red.txt").write_text("# a comment\ntest_it.py::test_one, why, issue\n")
    ended = run("--known-red", "red.txt", "-rs", folder=tmp_path)
    assert ended.returncode == 0, ended.stdout
    assert "1 passed, 1 skipped" in ended.stdout
    assert "known red: why, issue" in ended.stdout
