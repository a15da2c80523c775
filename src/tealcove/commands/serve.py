"""`tealcove serve`: run one instance."""

from __future__ import annotations

import dataclasses
import signal
from typing import Annotated

import cappa

from tealcove import settings as settings_module


@cappa.command(
    name="serve",
    help="Run an instance until SIGTERM, then finish requests in progress.",
)
@dataclasses.dataclass
class Serve:
    """Arguments of `serve`."""

    settings: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="The instance's settings.")
    ]

    async def __call__(self) -> None:
        """Read the settings and run the daemon."""
        # Until its handler is installed, the signal would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        found = settings_module.load(self.settings)
        # Imported here so that other commands start without these modules.
        from tealcove import daemon

        await daemon.serve(found)
