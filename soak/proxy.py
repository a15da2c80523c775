"""A TCP proxy on loopback that delays, resets, silences or refuses connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum

CHUNK_BYTES = 64 * 1024
# Seconds between two checks whether held-back bytes may be forwarded.
POLL_SECONDS = 0.02


class ProxyFault(enum.Enum):
    """The fault that a proxy injects into its connections."""

    NONE = "none"
    DELAYED = "delayed"
    # No bytes are forwarded in either direction, and connections stay open.
    SILENT = "silent"
    # Requests are forwarded, answers aren't.
    ONE_WAY = "one_way"
    REFUSED = "refused"


class Proxy:
    """Forwards connections to one address; `fault` can be changed at any time."""

    def __init__(self, host: str, port: int) -> None:
        self.target = (host, port)
        self.fault = ProxyFault.NONE
        self.delay = 0.0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Start listening; return the address to use instead of the target's."""
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Close the port and all connections, also if never started."""
        if self.server is not None:
            self.server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Break all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection to the target."""
        self.writers.add(writer)
        try:
            if self.fault is ProxyFault.REFUSED:
                return
            there_reader, there = await asyncio.open_connection(*self.target)
            self.writers.add(there)
            await asyncio.gather(
                self.forward(reader, there, answers=False),
                self.forward(there_reader, writer, answers=True),
            )
        except OSError:
            return
        finally:
            for one in (writer, locals().get("there")):
                if one is not None:
                    self.writers.discard(one)
                    one.transport.abort()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        """Forward one direction of a connection until it ends."""
        with contextlib.suppress(OSError):
            while part := await reader.read(CHUNK_BYTES):
                if self.fault is ProxyFault.DELAYED:
                    await asyncio.sleep(self.delay)
                await self.wait_while_held(answers)
                writer.write(part)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()

    async def wait_while_held(self, answers: bool) -> None:
        """Wait until bytes of a direction may be forwarded."""
        while True:
            if not self.is_held(answers):
                return
            await asyncio.sleep(POLL_SECONDS)

    def is_held(self, answers: bool) -> bool:
        """Tell whether bytes of a direction are held back."""
        if self.fault is ProxyFault.SILENT:
            return True
        return answers and self.fault is ProxyFault.ONE_WAY
