"""`tealcove delete`: remove a resource."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from tealcove.commands import get, servers
from tealcove.resources import kinds


@cappa.command(
    name="delete", help="Delete a resource, unless others name it or it just changed."
)
@dataclasses.dataclass(kw_only=True)
class Delete(servers.Servers):
    """Arguments of `delete`."""

    kind: Annotated[kinds.Kind, cappa.Arg(help="Kind of resource.")]
    name: Annotated[str, cappa.Arg(help="Name of the resource.")]

    async def __call__(self) -> None:
        """Read the resource's revision and delete the resource at that revision."""
        async with self.connect() as link:
            found = await get.get_existing(link, self.kind, self.name)
            based_on = found.metadata.revision
            revision = await link.delete(self.kind, self.name, based_on)
        print(f"revision {revision}")
