"""`python -m soak`: soaks by seed, one after the other."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal
import sys

import msgspec

from soak import kinds, run


async def one(
    folder: pathlib.Path, seed: int, found: argparse.Namespace
) -> run.Verdict:
    """Run one soak; SIGTERM ends it and the instances that it started."""
    current = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, current.cancel)
    return await run.soak(
        folder, seed, found.seconds, found.members, found.servers, found.kind
    )


def main() -> int:
    """Run the soaks; return 1 if any found a violation."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="so many seeds")
    parser.add_argument("--seconds", type=float, default=10.0, help="of faults, each")
    parser.add_argument("--members", type=int, default=run.MEMBERS, help="instances")
    parser.add_argument("--servers", type=int, default=run.SERVERS, help="of a service")
    add_kind(parser, kinds.Kind.RESTORES, "bring the store back from copies")
    add_kind(parser, kinds.Kind.PATHS, "cut instances off from servers")
    add_kind(parser, kinds.Kind.PAUSES, "only stop instances for moments")
    add_kind(parser, kinds.Kind.VERSIONS, "mix servers of several versions")
    add_kind(parser, kinds.Kind.PARTS, "crash servers by a part of prompts")
    add_kind(parser, kinds.Kind.FLOODS, "let one account flood another's servers")
    add_kind(parser, kinds.Kind.FALSE_LOADS, "let servers state their load falsely")
    add_kind(parser, kinds.Kind.OVERLOADED, "overload instances of little capacity")
    add_kind(parser, kinds.Kind.STOPS, "stop instances beside kept connections")
    parser.add_argument("--logs", type=pathlib.Path, required=True, help="a folder")
    found = parser.parse_args()
    failed = 0
    for seed in range(found.seed, found.seed + found.count):
        folder = found.logs / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        verdict = asyncio.run(one(folder, seed, found))
        print(msgspec.json.encode(verdict).decode(), flush=True)
        failed += bool(verdict.broken)
    return 1 if failed else 0


def add_kind(parser: argparse.ArgumentParser, kind: kinds.Kind, text: str) -> None:
    """Add the option that chooses a kind of soak."""
    parser.add_argument(
        f"--{kind.value}",
        dest="kind",
        action="store_const",
        const=kind,
        default=kinds.Kind.PLAIN,
        help=text,
    )


if __name__ == "__main__":
    sys.exit(main())
