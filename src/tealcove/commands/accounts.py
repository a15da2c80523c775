"""`tealcove accounts`: see client accounts and change their weights."""

from __future__ import annotations

import dataclasses
import enum
from typing import Annotated

import cappa

from tealcove import errors
from tealcove.commands import admin

# Four calls of the store, each at its time-out.
ORDER_SECONDS = 20.0


class Action(enum.Enum):
    """What to do."""

    LIST = "list"
    WEIGHT = "weight"
    RESET = "reset"


METHODS = {Action.LIST: "GET", Action.WEIGHT: "PUT", Action.RESET: "DELETE"}


@cappa.command(
    name="accounts",
    help="Show client accounts, and change their weights for fair sharing.",
    description=admin.description("ordered"),
)
@dataclasses.dataclass
class Accounts(admin.AdminCommand):
    """Arguments of `accounts`."""

    action: Annotated[Action, cappa.Arg(help="list, weight or reset.")]
    name: Annotated[
        str, cappa.Arg(default="", help="The account, for weight and reset.")
    ] = ""
    value: Annotated[
        str,
        cappa.Arg(default="", help="The weight: above 0 and at most 1000."),
    ] = ""

    async def send(self) -> object:
        """Send the order; return the decoded answer; raises TealcoveError."""
        self.check()
        # Imported here so that other commands start without these modules.
        from tealcove.accounts import handlers, orders

        body = None
        if self.action is Action.WEIGHT:
            body = {"weight": orders.read_weight(self.value)}
        method = METHODS[self.action]
        return await admin.call(
            method, self.port, handlers.PATH, self.name, body, ORDER_SECONDS
        )

    def check(self) -> None:
        """Raise SettingsError unless the action has what it needs and no more."""
        needs_name = self.action is not Action.LIST
        needs_value = self.action is Action.WEIGHT
        if bool(self.name) != needs_name or bool(self.value) != needs_value:
            given = " ".join(filter(None, (self.name, self.value))) or "nothing"
            raise errors.SettingsError(
                f"accounts {self.action.value} was given {given}",
                "Write `list`, `weight NAME VALUE` or `reset NAME`.",
            )
