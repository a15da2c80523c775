"""`tealcove get`: show resources."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from tealcove import client, connection
from tealcove.commands import output, servers
from tealcove.resources import kinds


@cappa.command(name="get", help="Show the resources of a kind, or one of them whole.")
@dataclasses.dataclass(kw_only=True)
class Get(servers.Servers):
    """Arguments of `get`."""

    kind: Annotated[kinds.Kind, cappa.Arg(help="Kind of resource.")]
    name: Annotated[str, cappa.Arg(default="", help="Name; without it, all.")]
    json: Annotated[
        bool, cappa.Arg(long=True, default=False, help="Print a list whole, as JSON.")
    ]

    async def __call__(self) -> None:
        """Read and print resources."""
        async with self.connect() as link:
            if self.name:
                print(output.pretty(await get_existing(link, self.kind, self.name)))
                return
            found = await link.list(self.kind)
        print(output.pretty(found) if self.json else render_table(found))


async def get_existing(
    link: client.Client, kind: kinds.Kind, name: str
) -> client.ResourceView:
    """Return a resource; raises ClientError if there is none."""
    found = await link.get(kind, name)
    if found is None:
        raise connection.ClientError(
            f"{kind.value} {name} doesn't exist",
            f"See `tealcove get {kind.value}` for those that do.",
        )
    return found


def render_table(found: list[client.ResourceView]) -> str:
    """Return a table with a row for each resource."""
    rows: list[tuple[object, ...]] = [("NAME", "REVISION", "CHANGED BY", "IN FORCE")]
    for one in found:
        metadata = one.metadata
        rows.append(
            (
                metadata.name,
                metadata.revision,
                metadata.changed_by,
                render_in_force(one),
            )
        )
    return output.table(rows)


def render_in_force(found: client.ResourceView) -> str:
    """Return on how many instances a resource's last change is in force."""
    if found.status is None:
        return ""
    counted = found.status.in_force
    return f"{counted.instances} of {counted.of}"
