"""A burden on an instance's process, which is read from the file `path_of` names."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time

import msgspec

from tealcove.front import settings
from tealcove.instances import figures

POLL_SECONDS = 0.02
# Seconds for which the event loop stands still again and again, and runs in between. A
# request needs about ten turns of the loop, so that it takes as long as callers wait.
BLOCK_SECONDS = 0.3
RUN_SECONDS = 0.02
BYTES_IN_MB = 1e6


class Burden(msgspec.Struct, frozen=True):
    """What burdens an instance."""

    # Whether its event loop is busy.
    blocks: bool = False
    # The part of its memory that it uses; 0: as it is.
    memory: float = 0.0
    # Files that it has open besides its own.
    files: int = 0


def path_of(settings_path: pathlib.Path) -> pathlib.Path:
    """Return the file with the present burden of an instance."""
    return settings_path.with_suffix(".burden")


def write(settings_path: pathlib.Path, burden: Burden) -> None:
    """Put a burden on an instance, or remove it."""
    path = path_of(settings_path)
    new = path.with_suffix(".burden-new")
    new.write_bytes(msgspec.json.encode(burden))
    new.replace(path)


async def follow(settings_path: pathlib.Path, machine: settings.Machine) -> None:
    """Bear each burden as long as it is in force, until cancelled."""
    path = path_of(settings_path)
    held = b""
    files: list[int] = []
    while True:
        found = Burden()
        if path.exists():
            found = msgspec.json.decode(path.read_bytes(), type=Burden)
        if found.memory and not held:
            held = filling(found.memory * machine.memory_mb * BYTES_IN_MB)
        elif not found.memory:
            held = b""
        while len(files) < found.files:
            files.append(os.open(os.devnull, os.O_RDONLY))
        while len(files) > found.files:
            os.close(files.pop())
        if found.blocks:
            # Stands still without using the processor, which other processes need.
            time.sleep(BLOCK_SECONDS)  # noqa: ASYNC251
        await asyncio.sleep(RUN_SECONDS if found.blocks else POLL_SECONDS)


def filling(size: float) -> bytes:
    """Return so much that this process has a size in bytes of resident memory."""
    source = figures.ProcessSource(lambda: 0.0, figures.Traffic)
    # Written bytes: pages of zeros would not be resident.
    return b"x" * max(1, int(size - source.memory()))
