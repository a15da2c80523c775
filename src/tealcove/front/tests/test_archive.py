"""Tests of the module archive, in processes that load from it."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys

import pytest

import tealcove
from tealcove.front import archive

# Prints the loader of the program's module, the number of files opened, and its path.
SCRIPT = """
import sys
opened = []
sys.addaudithook(lambda event, _: opened.append(event) if event == "open" else None)
import tealcove.front.__main__
from tealcove.front import daemon
print(type(daemon.__spec__.loader).__name__, len(opened), daemon.__file__)
"""
# An instance has some 600 modules.
MAX_FILES = 100


@pytest.fixture
def folder(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return a folder with the package installed and its archive written."""
    source = pathlib.Path(tealcove.__file__).parent
    ignored = shutil.ignore_patterns("tests", "__pycache__")
    shutil.copytree(source, tmp_path / "tealcove", ignore=ignored)
    run(tmp_path, "-m", "tealcove.front.archive", str(tmp_path))
    return tmp_path


def run(folder: pathlib.Path, *arguments: str) -> str:
    """Run a Python process with a folder's modules; return what it prints."""
    ended = subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
        env={**os.environ, "PYTHONPATH": str(folder)},
    )
    return ended.stdout


def start(folder: pathlib.Path) -> list[str]:
    """Import an instance's program and return what SCRIPT prints."""
    return run(folder, "-c", SCRIPT).split()


def test_an_instance_opens_few_files_at_its_start(folder: pathlib.Path) -> None:
    """Guard against slow restarts.

    After all instances were killed at once, callers wait until each process has
    searched for, opened and compared each of its modules with its source.
    """
    loader, opened, file = start(folder)
    assert loader == archive.Finder.__name__
    assert int(opened) < MAX_FILES
    assert file == str(folder / "tealcove/front/daemon.py")


@pytest.mark.parametrize("kept", [0, 3, 1000])
def test_a_truncated_archive_is_ignored(folder: pathlib.Path, kept: int) -> None:
    """Guard against instances that can't start.

    An archive written to a full disk is truncated; loading it must not raise.
    """
    path = folder / archive.NAME
    path.write_bytes(path.read_bytes()[:kept])
    loader, _, file = start(folder)
    assert loader != archive.Finder.__name__
    assert file == str(folder / "tealcove/front/daemon.py")


def test_the_archive_of_another_python_is_ignored(folder: pathlib.Path) -> None:
    path = folder / archive.NAME
    path.write_bytes(b"\0\0\0\0" + path.read_bytes()[4:])
    assert start(folder)[0] != archive.Finder.__name__


def test_without_an_archive_modules_come_from_their_files(
    folder: pathlib.Path,
) -> None:
    (folder / archive.NAME).unlink()
    assert start(folder)[0] != archive.Finder.__name__
