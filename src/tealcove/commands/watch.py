"""`tealcove watch`: print changes as they happen."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from tealcove import ids
from tealcove.commands import servers
from tealcove.resources import kinds


@cappa.command(
    name="watch",
    help="Print each change of a kind as a JSON line, until interrupted.",
    description="A watch whose instance leaves goes on at another one.",
)
@dataclasses.dataclass(kw_only=True)
class Watch(servers.Servers):
    """Arguments of `watch`."""

    kind: Annotated[kinds.Kind, cappa.Arg(help="Kind of resource.")]
    revision: Annotated[
        int | None,
        cappa.Arg(
            long=True, default=None, help="Print what came after; default: from now."
        ),
    ]

    async def __call__(self) -> None:
        """Print changes until interrupted."""
        async with self.connect() as link:
            await link.entry_points()
            after = self.revision
            if after is None:
                after = (await link.status()).revision
            async for event in link.watch(self.kind, ids.Revision(after)):
                print(msgspec.json.encode(event).decode(), flush=True)
