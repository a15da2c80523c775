"""`tealcove front`: run one instance on the users' platform."""

from __future__ import annotations

import dataclasses
import signal
from typing import Annotated

import cappa


@cappa.command(
    name="front",
    help="Run an instance on the users' platform until SIGTERM.",
)
@dataclasses.dataclass
class Front:
    """Arguments of `front`."""

    settings: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="The instance's settings.")
    ]

    async def __call__(self) -> None:
        """Read the settings and run the daemon."""
        # Until its handler is installed, the signal would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Imported here so that other commands start without these modules.
        from tealcove.front import daemon

        await daemon.serve(self.settings)
