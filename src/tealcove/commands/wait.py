"""`tealcove wait`: wait until a configuration is in force everywhere."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from tealcove import client, connection, ids
from tealcove.commands import output, servers


@cappa.command(
    name="wait",
    help="Wait until a revision is in force on every serving instance.",
    description="Exit code 5 tells that it wasn't in time.",
)
@dataclasses.dataclass(kw_only=True)
class Wait(servers.Servers):
    """Arguments of `wait`."""

    revision: Annotated[
        int | None,
        cappa.Arg(
            long=True, default=None, help="Default: the newest that any instance has."
        ),
    ]
    timeout: Annotated[
        float, cappa.Arg(long=True, default=30.0, help="Seconds to wait.")
    ]

    async def __call__(self) -> None:
        """Determine the revision and wait until it is in force."""
        async with self.connect() as link:
            newest = await link.newest_revision()
            revision = newest if self.revision is None else ids.Revision(self.revision)
            await until_in_force(link, revision, self.timeout)


async def until_in_force(
    link: client.Client, revision: ids.Revision, seconds: float
) -> None:
    """Wait for a revision and print progress; raises TimedOutError."""
    following = follow(link, revision)
    await connection.within(seconds, following, f"Revision {revision} in force")
    print(f"revision {revision} is in force everywhere")


async def follow(link: client.Client, revision: ids.Revision) -> None:
    """Print progress until a revision is in force on all instances."""
    shown = ""
    async for found in link.in_force(revision):
        counted = found.in_force
        line = f"revision {found.revision}: {counted.instances} of {counted.of}"
        if line != shown:
            output.progress(line)
            shown = line
