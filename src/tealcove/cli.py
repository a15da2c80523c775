"""The command line: `tealcove`."""

from __future__ import annotations

import asyncio
import dataclasses

import cappa

from tealcove import errors, version
from tealcove.commands import (
    accounts,
    apply,
    check,
    delete,
    demo,
    entrypoints,
    exits,
    front,
    get,
    keys,
    quarantine,
    request,
    serve,
    standin,
    wait,
    watch,
)


@cappa.command(
    name="tealcove",
    help="Request scheduler for unlike engines.",
    description=(
        "Exit codes: 0 done; 1 failed; 2 wrong usage; 3 conflict with another "
        "change; 4 unavailable, nothing was done; 5 not in time."
    ),
)
@dataclasses.dataclass
class Tealcove:
    """The command and its subcommands."""

    command: cappa.Subcommands[
        serve.Serve
        | front.Front
        | check.Check
        | demo.Demo
        | get.Get
        | apply.Apply
        | delete.Delete
        | watch.Watch
        | wait.Wait
        | request.Request
        | entrypoints.EntryPoints
        | keys.Keys
        | quarantine.Quarantine
        | accounts.Accounts
        | standin.Standin
    ]


async def run(argv: list[str] | None = None) -> exits.Code:
    """Run a command line and return its exit code.

    Raises SystemExit for wrong usage, for help, and if a command exits itself.
    """
    try:
        await cappa.invoke_async(
            Tealcove, argv=argv, version=version.VERSION, completion=False
        )
    except errors.TealcoveError as error:
        return exits.report(error)
    return exits.Code.OK


def main(argv: list[str] | None = None) -> None:
    """Run the command line; raises SystemExit when it fails."""
    try:
        code = asyncio.run(run(argv))
    except KeyboardInterrupt:
        code = exits.Code.FAILED
    if code is not exits.Code.OK:
        raise SystemExit(int(code))


if __name__ == "__main__":
    main()
