"""What a real instance uses among many peers: python -m bench.slopes.peers."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import pathlib
import sys
import tempfile

import msgspec
from tests import deployment

from bench.slopes import crowd, watch
from tealcove.membership import heartbeats
from tealcove.storage import instances

# Stand-in peers per process.
PEERS_PER_PROCESS = 150
SETTLE_SECONDS = 6.0


class PeerProcesses:
    """The processes of stand-in peers."""

    def __init__(self) -> None:
        self.processes: list[asyncio.subprocess.Process] = []
        self.addresses: list[str] = []

    async def start(self, count: int, interval: float) -> None:
        """Start `count` peers; they listen but send no heartbeats yet."""
        for first in range(1, count + 1, PEERS_PER_PROCESS):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bench.slopes.crowd",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=2**24,
            )
            self.processes.append(process)
            number = min(PEERS_PER_PROCESS, count + 1 - first)
            self.write_line(process, crowd.Plan(first, number, interval))
            self.addresses += json.loads(await process.stdout.readline())

    def write_line(
        self, process: asyncio.subprocess.Process, line: msgspec.Struct
    ) -> None:
        """Write a line to a process."""
        process.stdin.write(msgspec.json.encode(line) + b"\n")

    def send_heartbeats_to(self, watched: str) -> None:
        """Let all peers send heartbeats to an instance from now on."""
        for process in self.processes:
            self.write_line(process, crowd.Start(watched, tuple(self.addresses)))

    async def stop(self) -> None:
        """End the processes."""
        for process in self.processes:
            process.kill()
            await process.wait()


async def list_servers(fleet: deployment.Deployment, count: int) -> None:
    """Put so many backend servers on the platform's list."""
    for number in range(count):
        listed = instances.ListedInstance(
            name=f"engine-{number:04d}",
            kind=instances.ListedKind.BACKEND_SERVER,
            state=instances.ListedState.LIVE,
            host=f"10.9.{number // 250}.{number % 250}",
            http_port=8000,
            peer_port=0,
            data_centre="dc-1",
        )
        await fleet.list_instance(listed)


async def measure(
    count: int, listed: int, found: argparse.Namespace
) -> list[watch.Use]:
    """Return what one of so many instances uses, several times."""
    peers = PeerProcesses()
    with tempfile.TemporaryDirectory() as name:
        async with deployment.Deployment(pathlib.Path(name)) as fleet:
            try:
                await peers.start(count - 1, found.interval)
                await list_servers(fleet, listed)
                beat = {
                    "interval": found.interval,
                    "suspect_after": 40 * found.interval,
                    "forget_after": 400 * found.interval,
                }
                watched = await fleet.add_instance(
                    seeds=[],
                    heartbeat=beat,
                    configuration={"poll_interval": 1.0},
                )
                await fleet.wait_until_ready(watched)
                peers.send_heartbeats_to(f"{watched.host}:{deployment.PEER_PORT}")
                await asyncio.sleep(SETTLE_SECONDS)
                pid = watched.process.pid
                return [
                    await watch.measure_use(pid, found.seconds)
                    for _ in range(found.runs)
                ]
            finally:
                await peers.stop()


async def run(found: argparse.Namespace) -> None:
    """Print a line for each run."""
    print(
        f"heartbeats every {found.interval} s, with all addresses "
        f"every {heartbeats.KNOWN_INTERVAL} s"
    )
    for count, listed in itertools.product(found.members, found.listed):
        for use in await measure(count, listed, found):
            print(
                f"{count:4} members, {listed} listed: {watch.format_use(use)}",
                flush=True,
            )


def main() -> None:
    """Run as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=[8, 36, 145, 580])
    parser.add_argument("--interval", type=float, default=0.25)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--runs", type=int, default=3)
    # Backend servers on the platform's list.
    parser.add_argument("--listed", type=int, nargs="+", default=[0])
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
