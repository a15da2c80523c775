"""`tealcove quarantine`: see and change which parts of prompts are refused."""

from __future__ import annotations

import dataclasses
import enum
from typing import Annotated

import aiohttp
import cappa

from tealcove import errors
from tealcove.commands import output

TIMEOUT_SECONDS = 5.0
HTTP_OK = 200


class Action(enum.Enum):
    """What to do."""

    LIST = "list"
    ADD = "add"
    LIFT = "lift"


METHODS = {Action.LIST: "GET", Action.ADD: "PUT", Action.LIFT: "DELETE"}


@cappa.command(
    name="quarantine",
    help="Show, add or lift convictions of parts of prompts that crash servers.",
    description=(
        "Run it on the machine of any instance whose `listen.admin_port` is set; all "
        "instances apply what is added or lifted."
    ),
)
@dataclasses.dataclass
class Quarantine:
    """Arguments of `quarantine`."""

    action: Annotated[Action, cappa.Arg(help="list, add or lift.")]
    part: Annotated[
        str, cappa.Arg(default="", help="The part's id, for add and lift.")
    ] = ""
    port: Annotated[
        int, cappa.Arg(long=True, default=7005, help="The instance's admin port.")
    ] = 7005

    async def __call__(self) -> None:
        """Send the order and print the answer; raises TealcoveError."""
        print(output.pretty(await self.send()))

    async def send(self) -> object:
        """Send the order; return the decoded answer; raises TealcoveError."""
        if (self.action is Action.LIST) == bool(self.part):
            raise errors.SettingsError(
                f"{self.action.value} was given the part {self.part!r}",
                "Name a part to add or lift, and none to list them.",
            )
        # Imported here so that other commands start without these modules.
        from tealcove.quarantine import handlers

        path = f"{handlers.PATH}/{self.part}" if self.part else handlers.PATH
        url = f"http://127.0.0.1:{self.port}{path}"
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(METHODS[self.action], url) as response,
            ):
                if response.status != HTTP_OK:
                    raise errors.SettingsError(
                        f"the instance answered {response.status}",
                        (await response.text()).strip(),
                    )
                return await response.json()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.PlatformUnavailableError(
                f"no instance answers at {url}: {error}",
                "Set `listen.admin_port`, or name the port with --port.",
            ) from error
