"""`tealcove quarantine`: see and change which parts of prompts are refused."""

from __future__ import annotations

import dataclasses
import enum
from typing import Annotated

import cappa

from tealcove import errors
from tealcove.commands import admin


class Action(enum.Enum):
    """What to do."""

    LIST = "list"
    ADD = "add"
    LIFT = "lift"


METHODS = {Action.LIST: "GET", Action.ADD: "PUT", Action.LIFT: "DELETE"}


@cappa.command(
    name="quarantine",
    help="Show, add or lift convictions of parts of prompts that crash servers.",
    description=admin.description("added or lifted"),
)
@dataclasses.dataclass
class Quarantine(admin.AdminCommand):
    """Arguments of `quarantine`."""

    action: Annotated[Action, cappa.Arg(help="list, add or lift.")]
    part: Annotated[
        str, cappa.Arg(default="", help="The part's id, for add and lift.")
    ] = ""

    async def send(self) -> object:
        """Send the order; return the decoded answer; raises TealcoveError."""
        if (self.action is Action.LIST) == bool(self.part):
            raise errors.SettingsError(
                f"{self.action.value} was given the part {self.part!r}",
                "Name a part to add or lift, and none to list them.",
            )
        # Imported here so that other commands start without these modules.
        from tealcove.quarantine import handlers

        method = METHODS[self.action]
        return await admin.call(method, self.port, handlers.PATH, self.part)
