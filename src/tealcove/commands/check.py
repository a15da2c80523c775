"""`tealcove check`: validate settings and resource files."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Annotated

import cappa

from tealcove import errors, plan, resourcefiles, settings, settingsfile
from tealcove.commands import exits
from tealcove.front import settings as front_settings
from tealcove.resources import copy

RESOURCE_KEY = "kind"
LISTEN_KEY = "listen"


@cappa.command(
    name="check",
    help="Check settings and resource files; changes nothing, asks no server.",
    description=(
        "A folder is read as resources, which must hold all that they name. A file "
        "is read as resources if it holds a list or has the key `kind`, and as an "
        "instance's settings otherwise."
    ),
)
@dataclasses.dataclass
class Check:
    """Arguments of `check`."""

    paths: Annotated[
        list[str],
        cappa.Arg(value_name="PATH", required=True, help="Files or folders to check."),
    ]

    async def __call__(self) -> None:
        """Check every path; exit with an error if one of them is invalid."""
        failures = 0
        for path in self.paths:
            try:
                print(f"{path}: {check_path(path)}")
            except errors.TealcoveError as error:
                print(error)
                failures += 1
        if failures:
            raise cappa.Exit(code=exits.Code.FAILED)


def check_path(path: str) -> str:
    """Check a path and describe its content; raises errors.SettingsError."""
    if pathlib.Path(path).is_dir():
        declared = resourcefiles.read([path])
        plan.check(copy.empty(), declared)
        return f"{len(declared)} resources, fine together"
    if is_resources(settingsfile.parse(path)):
        return f"{len(resourcefiles.read([path]))} resources, fine each for itself"
    if is_for_platform(settingsfile.parse(path)):
        found = front_settings.load(path)
        return f"settings of {found.instance} on the platform, fine"
    return f"settings of {settings.load(path).instance}, fine"


def is_for_platform(content: object) -> bool:
    """Return whether content is settings of `tealcove front`, not `serve`."""
    return isinstance(content, dict) and LISTEN_KEY in content


def is_resources(content: object) -> bool:
    """Return whether content is resources, not settings."""
    return isinstance(content, list) or (
        isinstance(content, dict) and RESOURCE_KEY in content
    )
