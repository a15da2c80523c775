"""The command line: `tealcove`."""

from __future__ import annotations

import asyncio
import dataclasses
import sys

import cappa

from tealcove import errors, version
from tealcove.commands import check, exits, serve, standin


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

    command: cappa.Subcommands[serve.Serve | check.Check | standin.Standin]


def main(argv: list[str] | None = None) -> None:
    """Run the command line; raises SystemExit when it fails."""
    try:
        asyncio.run(
            cappa.invoke_async(
                Tealcove, argv=argv, version=version.VERSION, completion=False
            )
        )
    except errors.TealcoveError as error:
        print(f"tealcove: {error}", file=sys.stderr)
        raise SystemExit(int(exits.code_for(error))) from None
    except KeyboardInterrupt:
        raise SystemExit(int(exits.Code.FAILED)) from None


if __name__ == "__main__":
    main()
