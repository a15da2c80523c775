"""`tealcove apply`: create and change resources as declared in files."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from tealcove import client, plan, resourcefiles
from tealcove.commands import output, servers, wait
from tealcove.resources import kinds


class Step(msgspec.Struct, frozen=True):
    """A resource and its declaration; `current` is None for a new resource."""

    declared: resourcefiles.Declared
    current: client.ResourceView | None

    @property
    def title(self) -> str:
        """Return the kind and name of the resource."""
        return f"{self.declared.kind.value}/{self.declared.name}"

    @property
    def changed(self) -> bool:
        """Return whether the resource must be written."""
        return (
            self.current is None or self.declared.spec != self.current.resource().spec
        )

    def diff(self) -> str:
        """Return a diff of the specs, including defaults."""
        before = None if self.current is None else self.current.resource().spec
        return output.diff(self.title, before, self.declared.spec)


@cappa.command(
    name="apply",
    help="Make resources as files and folders declare them.",
    description=(
        "Shows a diff of each resource that changes. A resource that somebody else "
        "changes between the reading and the writing is left alone (exit code 3). "
        "Resources that no file names are left as they are."
    ),
)
@dataclasses.dataclass(kw_only=True)
class Apply(servers.Servers):
    """Arguments of `apply`."""

    paths: Annotated[
        list[str],
        cappa.Arg(value_name="PATH", required=True, help="Files or folders."),
    ]
    dry_run: Annotated[
        bool,
        cappa.Arg(long=True, default=False, help="Check and show, but write nothing."),
    ]
    wait: Annotated[
        bool,
        cappa.Arg(
            long=True,
            default=False,
            help="Wait until the changes are in force on every serving instance.",
        ),
    ]
    timeout: Annotated[
        float, cappa.Arg(long=True, default=30.0, help="Seconds for --wait.")
    ]

    async def __call__(self) -> None:
        """Read and check all resources, then write them one after the other."""
        declared = plan.by_dependency(resourcefiles.read(self.paths))
        async with self.connect() as link:
            await link.entry_points()
            steps = await find_changes(link, declared)
            if self.dry_run:
                print(f"{len(steps)} of {len(declared)} would change.")
                return
            revision = None
            for number, step in enumerate(steps, 1):
                revision = await write(link, step)
                output.progress(f"{number} of {len(steps)}: {step.title} written")
            print(f"{len(steps)} of {len(declared)} changed.")
            if revision is not None:
                print(f"revision {revision}")
                if self.wait:
                    await wait.until_in_force(link, revision, self.timeout)


async def find_changes(
    link: client.Client, declared: list[resourcefiles.Declared]
) -> list[Step]:
    """Check all declarations together, print the changes and return them."""
    held: dict[tuple[kinds.Kind, str], client.ResourceView] = {}
    for kind in kinds.Kind:
        for one in await link.list(kind):
            held[kind, one.metadata.name] = one
    plan.check(
        plan.build_configuration(one.resource() for one in held.values()), declared
    )
    steps = [Step(one, held.get((one.kind, one.name))) for one in declared]
    changing = [step for step in steps if step.changed]
    for step in changing:
        print(step.diff())
    return changing


async def write(link: client.Client, step: Step) -> int:
    """Write a resource if it's unchanged since it was read; return its revision."""
    based_on = None if step.current is None else step.current.metadata.revision
    return (await link.put(step.declared, based_on)).metadata.revision
