"""`tealcove demo`: run a demonstration in one process."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa


@cappa.command(
    name="demo",
    help="Run one instance, a platform and six engines in this process for a while.",
    description=(
        "On loopback only, for about 15 seconds; prints what became of a mix of "
        "requests that is too much for the engines. Exit code 0 tells that no "
        "request was lost, doubled or mixed up."
    ),
)
@dataclasses.dataclass(kw_only=True)
class Demo:
    """Arguments of `demo`."""

    seed: Annotated[
        int, cappa.Arg(long=True, default=1, help="Which requests are sent, and when.")
    ]
    seconds: Annotated[
        float, cappa.Arg(long=True, default=8.0, help="How long requests arrive.")
    ]
    json: Annotated[
        bool, cappa.Arg(long=True, default=False, help="Print the report as JSON.")
    ]

    async def __call__(self) -> None:
        """Run the demo."""
        # Imported here so that other commands start without these modules.
        from tealcove import demo

        await demo.run(self.seed, self.seconds, self.json)
