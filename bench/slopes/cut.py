"""What waits in memory for peers that are cut off: python -m bench.slopes.cut.

Heartbeats go on to seeds and listed instances during a cut. Nothing listens at
the addresses here, so everything that is sent waits.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import os

import msgspec
import psutil

from bench.slopes import members as population
from tealcove.membership import messages
from tealcove.peers import endpoint, mesh

PEERS = 8
# Ports of a loopback address on which nothing listens.
HOST = "127.255.255.254"
FIRST_PORT = 2


async def fill_queues(count: int, addresses: int) -> tuple[int, int, float]:
    """Send heartbeats to peers that aren't there.

    Returns the bytes of one, how many were kept for each peer, and the bytes of
    memory that a peer takes.
    """
    own = population.heartbeat(0)
    known = tuple(f"10.0.{n // 250}.{n % 250}:7001" for n in range(addresses))
    own = msgspec.structs.replace(own, known=known)
    one = mesh.Mesh(own.instance, own.incarnation, endpoint.Endpoint("127.0.0.1", 0))
    one.handle(messages.Heartbeat, lambda sender, heartbeat: None)
    await one.start()
    process = psutil.Process(os.getpid())
    before = process.memory_info().rss
    for _ in range(count):
        for number in range(PEERS):
            one.send(endpoint.Endpoint(HOST, FIRST_PORT + number), own)
    grown = process.memory_info().rss - before
    kept = one.sent // PEERS
    await one.stop()
    return len(one.codec.encode(own)), kept, grown / PEERS


def report(count: int, addresses: int) -> None:
    """Print the figures of one size; in a process of its own."""
    content, kept, grown = asyncio.run(fill_queues(count, addresses))
    print(
        f"{count} heartbeats of {content} bytes ({addresses} addresses): "
        f"{kept} wait for a peer, {grown / 1e6:.2f} MB"
    )


def main() -> None:
    """Run as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, nargs="+", default=[1000, 4000, 14400])
    parser.add_argument("--addresses", type=int, nargs="+", default=[0, 579])
    found = parser.parse_args()
    for addresses in found.addresses:
        for count in found.count:
            child = multiprocessing.get_context("spawn").Process(
                target=report, args=(count, addresses)
            )
            child.start()
            child.join()


if __name__ == "__main__":
    main()
