"""What a dispatcher's readings of one engine cost: python -m bench.slopes.polls.

A reading asks for load and state, and each second time for what the engine holds
and for its cache events. Processor time is measured straight to a stand-in,
bytes through a relay that counts them.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import tempfile
import time

import aiohttp
from tests import deployment

from bench.slopes import size
from tealcove import ids
from tealcove.backends import engine, http_engine

READ_BYTES = 2**16


class Relay:
    """Passes bytes on to an engine and counts them both ways."""

    def __init__(self, engine_process: deployment.Process) -> None:
        self.engine_process = engine_process
        self.bytes = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> engine.Server:
        """Listen; return the address in place of the engine's."""
        self.server = await asyncio.start_server(self.relay_connection, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return engine.Server(ids.BackendServerId("relay"), "127.0.0.1", port)

    async def relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on."""
        there = await asyncio.open_connection(
            self.engine_process.host, self.engine_process.port
        )
        await asyncio.gather(
            self.relay_direction(reader, there[1]),
            self.relay_direction(there[0], writer),
        )

    async def relay_direction(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one direction on until its end."""
        while content := await reader.read(READ_BYTES):
            self.bytes += len(content)
            writer.write(content)
        writer.close()


async def read_engine(
    client: http_engine.HttpEngineClient, server: engine.Server
) -> None:
    """Make two readings, as a dispatcher does in a second."""
    for _ in range(2):
        await client.load(server)
        await client.state(server)
    await client.holding(server)
    await client.cache_events(server, 0)


async def make_client(reuse: bool) -> http_engine.HttpEngineClient:
    """Return a client; with `reuse` it keeps connections, unlike the real client."""
    new_client = http_engine.HttpEngineClient()
    await new_client.start()
    if reuse:
        await new_client.session.close()
        new_client.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
    return new_client


async def measure(
    fleet: deployment.Deployment, reuse: bool, found: argparse.Namespace
) -> None:
    """Print the figures of one way to use connections."""
    process = fleet.engines[0]
    direct = engine.Server(ids.BackendServerId("direct"), process.host, process.port)
    engine_client = await make_client(reuse)
    times = []
    for _ in range(found.runs):
        began = time.process_time()
        for _ in range(found.count):
            await read_engine(engine_client, direct)
        times.append((time.process_time() - began) / found.count * 1e3)
    relay = Relay(process)
    address = await relay.start()
    for _ in range(found.count):
        await read_engine(engine_client, address)
    await engine_client.stop()
    relay.server.close()
    label = "connections kept" if reuse else "a connection a call"
    print(
        f"{label}: {size.format_result(size.summarise(times), 2)} ms and "
        f"{relay.bytes / found.count:.0f} bytes for an engine a second"
    )


async def run(found: argparse.Namespace) -> None:
    """Measure the client as it is, and with connections that are kept."""
    with tempfile.TemporaryDirectory() as name:
        async with deployment.Deployment(pathlib.Path(name)) as fleet:
            await fleet.add_engine(slots=8)
            await fleet.wait_for_port(fleet.engines[0])
            for reuse in (False, True):
                await measure(fleet, reuse, found)


def main() -> None:
    """Run as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=300)
    parser.add_argument("--runs", type=int, default=3)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
