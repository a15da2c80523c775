"""Commands that call an instance's port for operators on the same machine."""

from __future__ import annotations

import abc
import dataclasses
import urllib.parse
from typing import Annotated

import aiohttp
import cappa
import yarl

from tealcove import errors
from tealcove.commands import output

DEFAULT_PORT = 7005
TIMEOUT_SECONDS = 5.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
HTTP_UNKNOWN = 504


@dataclasses.dataclass
class AdminCommand(abc.ABC):
    """Base class of commands that send an order to the port for operators."""

    port: Annotated[
        int,
        cappa.Arg(long=True, default=DEFAULT_PORT, help="The instance's admin port."),
    ] = dataclasses.field(default=DEFAULT_PORT, kw_only=True)

    async def __call__(self) -> None:
        """Send the order and print the answer; raises TealcoveError."""
        print(output.pretty(await self.send()))

    @abc.abstractmethod
    async def send(self) -> object:
        """Send the order; return the decoded answer; raises TealcoveError."""


def description(done: str) -> str:
    """Return a command's description; `done` is what happens to its subjects."""
    return (
        "Run it on the machine of any instance whose `listen.admin_port` is set; all "
        f"instances apply what is {done}."
    )


async def call(
    method: str,
    port: int,
    path: str,
    name: str = "",
    body: dict[str, object] | None = None,
    seconds: float = TIMEOUT_SECONDS,
) -> object:
    """Send an order and return the decoded answer; raises TealcoveError.

    `name` follows the path, quoted.
    """
    suffix = f"/{urllib.parse.quote(name, safe='')}" if name else ""
    url = yarl.URL(f"http://127.0.0.1:{port}{path}{suffix}", encoded=True)
    timeout = aiohttp.ClientTimeout(total=seconds)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body) as response,
        ):
            if response.status != HTTP_OK:
                raise error_of(response.status, (await response.text()).strip())
            return await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise errors.PlatformUnavailableError(
            f"no instance answers at {url}: {error}",
            "Set `listen.admin_port`, or name the port with --port.",
        ) from error


def error_of(status: int, text: str) -> errors.TealcoveError:
    """Return the error for an answer that isn't a success."""
    problem = f"the instance answered {status}"
    if status == HTTP_UNAVAILABLE:
        return errors.PlatformUnavailableError(problem, text)
    if status == HTTP_UNKNOWN:
        return errors.OutcomeUnknownError(problem, text)
    return errors.SettingsError(problem, text)
