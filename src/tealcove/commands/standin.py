"""`tealcove standin`: run a stand-in for tests."""

from __future__ import annotations

import dataclasses
import enum
import importlib
import typing
from typing import Annotated

import cappa

from tealcove import settingsfile


class Role(enum.Enum):
    """The system that a stand-in replaces; also the name of its module."""

    PLATFORM = "platform"
    ENGINE = "engine"
    SERVICE = "service"


@cappa.command(
    name="standin",
    help="Run a stand-in for the platform, a model engine or a plain service.",
    description="For tests and trials only: a stand-in keeps everything in memory.",
)
@dataclasses.dataclass
class Standin:
    """Arguments of `standin`."""

    role: Annotated[Role, cappa.Arg(help="What it stands in for.")]
    settings: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="The stand-in's settings.")
    ]

    async def __call__(self) -> None:
        """Read the stand-in's settings and serve until SIGTERM."""
        module = importlib.import_module(f"tealcove.standins.{self.role.value}")
        shape = typing.get_type_hints(module.serve)["settings"]
        await module.serve(settingsfile.read(self.settings, shape))
