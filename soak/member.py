"""`python -m soak.member front --settings FILE`: an instance whose paths can be cut.

The cut in force is read from the file that `cuts_path` names. An instance that measures
its load can be burdened too.
"""

from __future__ import annotations

import asyncio
import enum
import pathlib
import sys

import msgspec
from tests import cuts

from soak import burden
from tealcove import cli, tasks
from tealcove.front import instance, settings

POLL_SECONDS = 0.02


class Open(enum.Enum):
    """What becomes of open connections in a cut."""

    LIVE = "live"
    RESET = "reset"
    SILENT = "silent"


class PathCut(msgspec.Struct, frozen=True):
    """A cut of the ways to the servers at some ports."""

    ports: tuple[int, ...] = ()
    how: cuts.How = cuts.How.HANG
    open: Open = Open.LIVE


NO_CUT = PathCut()


def cuts_path(settings_path: pathlib.Path) -> pathlib.Path:
    """Return the file with the cut in force of an instance."""
    return settings_path.with_suffix(".cut")


def write(settings_path: pathlib.Path, cut: PathCut) -> None:
    """Put a cut into force."""
    path = cuts_path(settings_path)
    new = path.with_suffix(".new")
    new.write_bytes(msgspec.json.encode(cut))
    new.replace(path)


def read(settings_path: pathlib.Path) -> PathCut:
    """Return the cut in force."""
    path = cuts_path(settings_path)
    if not path.exists():
        return NO_CUT
    return msgspec.json.decode(path.read_bytes(), type=PathCut)


async def follow(cut: cuts.Cut, settings_path: pathlib.Path) -> None:
    """Apply each cut that comes into force, until cancelled."""
    current = NO_CUT
    while True:
        found = read(settings_path)
        if found != current:
            apply(cut, found)
            current = found
        await asyncio.sleep(POLL_SECONDS)


def apply(cut: cuts.Cut, found: PathCut) -> None:
    """Apply a cut, or end the one before."""
    cut.hold_open(False)
    cut.begin(found.ports, found.how)
    if found.open is Open.RESET:
        cut.reset_open()
    elif found.open is Open.SILENT:
        cut.hold_open(True)


def main() -> None:
    """Run the command line with instances whose paths can be cut."""
    settings_path = pathlib.Path(sys.argv[-1])
    start = instance.start

    async def start_cuttable(found: settings.FrontSettings) -> instance.Instance:
        running = await start(found)
        cut = cuts.Cut(running)
        apply(cut, read(settings_path))
        running.tasks.append(tasks.start(follow(cut, settings_path), "path cuts"))
        if found.instance_load.enabled:
            bearing = burden.follow(settings_path, found.machine)
            running.tasks.append(tasks.start(bearing, "burdens"))
        return running

    instance.start = start_cuttable
    cli.main()


if __name__ == "__main__":
    main()
