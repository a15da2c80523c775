"""Stand-in peers in one process that send heartbeats to one instance."""

from __future__ import annotations

import asyncio
import json
import sys

import msgspec
import zmq
import zmq.asyncio

from bench.slopes import members as population
from tealcove import ids
from tealcove.membership import heartbeats, messages
from tealcove.peers import endpoint, mesh

HOST = "127.0.0.1"


class Plan(msgspec.Struct):
    """The first line on the standard input: which peers to start."""

    # Numbers of the peers of this process, from `first` on.
    first: int
    count: int
    interval: float


class Start(msgspec.Struct):
    """The second line: where to send heartbeats, and the addresses they name."""

    watched: str
    known: tuple[str, ...]


class Peer:
    """One peer: its own listening socket, and a link to the watched instance."""

    def __init__(self, number: int, context: zmq.asyncio.Context) -> None:
        self.heartbeat = population.heartbeat(number)
        self.mesh = mesh.Mesh(
            self.heartbeat.instance,
            self.heartbeat.incarnation,
            endpoint.Endpoint(HOST, 0),
        )
        # Hundreds of contexts would each have threads of their own.
        self.mesh.context = context
        self.mesh.plain_context = zmq.Context.shadow(context.underlying)
        self.mesh.handle(messages.Heartbeat, self.ignore_heartbeat)

    async def start(self) -> None:
        """Listen."""
        await self.mesh.start()
        self.heartbeat = msgspec.structs.replace(
            self.heartbeat,
            peer_host=HOST,
            peer_port=self.mesh.listen.port,
            revision=ids.Revision(0),
        )

    def ignore_heartbeat(
        self, sender: ids.InstanceId, received: messages.Heartbeat
    ) -> None:
        """Ignore a received heartbeat."""

    async def send_heartbeats(
        self, start: Start, interval: float, start_delay: float
    ) -> None:
        """Send heartbeats until cancelled; at intervals one names all peers."""
        watched = endpoint.parse(start.watched)
        full = msgspec.structs.replace(self.heartbeat, known=start.known)
        await asyncio.sleep(start_delay)
        until_known = 0.0
        while True:
            with_known = until_known <= 0.0
            if self.mesh.send(watched, full if with_known else self.heartbeat):
                until_known = (
                    heartbeats.KNOWN_INTERVAL if with_known else until_known - interval
                )
            await asyncio.sleep(interval)


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return a line of the standard input; ends the process when there is none."""
    line = await reader.readline()
    if not line:
        sys.exit(0)
    return line


async def main() -> None:
    """Print the addresses, then send heartbeats until standard input is closed."""
    reader = asyncio.StreamReader(limit=2**24)
    loop = asyncio.get_running_loop()
    protocol = asyncio.StreamReaderProtocol(reader)
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    plan = msgspec.json.decode(await read_line(reader), type=Plan)
    context = zmq.asyncio.Context()
    context.set(zmq.MAX_SOCKETS, 4 * plan.count + 16)
    peers = [Peer(plan.first + n, context) for n in range(plan.count)]
    for peer in peers:
        await peer.start()
    print(json.dumps([str(peer.mesh.listen) for peer in peers]), flush=True)
    start = msgspec.json.decode(await read_line(reader), type=Start)
    beats = [
        asyncio.create_task(
            peer.send_heartbeats(
                start, plan.interval, plan.interval * number / plan.count
            )
        )
        for number, peer in enumerate(peers)
    ]
    await reader.read()
    for beat in beats:
        beat.cancel()


if __name__ == "__main__":
    asyncio.run(main())
