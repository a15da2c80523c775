"""`tealcove check`: tell whether files would be accepted."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from tealcove import errors, settings
from tealcove.commands import exits


@cappa.command(
    name="check",
    help="Check settings files; prints a line for each and changes nothing.",
)
@dataclasses.dataclass
class Check:
    """Arguments of `check`."""

    files: Annotated[
        list[str], cappa.Arg(value_name="FILE", required=True, help="Files to check.")
    ]

    async def __call__(self) -> None:
        """Check every file, and fail if one of them is refused."""
        refused = 0
        for path in self.files:
            try:
                settings.load(path)
            except errors.SettingsError as error:
                print(error)
                refused += 1
            else:
                print(f"{path}: settings, fine")
        if refused:
            raise cappa.Exit(code=exits.Code.FAILED)
