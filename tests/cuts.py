"""Cuts of the ways between instances and backend servers, in the test process."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import weakref
from collections.abc import Iterable, Iterator

import aiohttp
from aiohttp import client_reqrep, connector

from tealcove.backends import engine
from tealcove.front import instance
from tealcove.standins import poolserver


class How(enum.Enum):
    """What happens to new connections during a cut."""

    HANG = "hang"
    REFUSED = "refused"
    # Every second one hangs.
    LOSSY = "lossy"


class Cut:
    """A cut of one instance's ways to backend servers; others reach these as before."""

    def __init__(self, one: instance.Instance) -> None:
        self.hidden: frozenset[int] = frozenset()
        self.how = How.HANG
        self.ports: frozenset[int] = frozenset()
        # Connections to the servers: those that failed by the cut, and the others.
        self.failed = 0
        self.made = 0
        # Connections that failed by themselves, such as slow ones.
        self.failed_uncut = 0
        # Connections that were tried during a cut.
        self.tried = 0
        self.open: weakref.WeakSet[connector.Connection] = weakref.WeakSet()
        found = one.link.session.connector
        self.connect_seconds = found.connect_seconds
        self.connect = found.connect
        found.connect = self.connect_unless_cut
        self.is_refused = one.link.is_refused
        one.link.is_refused = self.is_refused_or_cut

    async def connect_unless_cut(
        self,
        request: client_reqrep.ClientRequest,
        traces: list[object],
        timeout: aiohttp.ClientTimeout,
    ) -> connector.Connection:
        """Connect as aiohttp does, unless the way to the address is cut."""
        if request.url.port in self.hidden and self.loses_next():
            self.failed += 1
            if self.how is How.REFUSED:
                refused = ConnectionRefusedError("cut")
                raise aiohttp.ClientConnectorError(request.connection_key, refused)
            await asyncio.sleep(self.connect_seconds)
            raise aiohttp.ConnectionTimeoutError("cut")
        try:
            made = await self.connect(request, traces, timeout)
        except (aiohttp.ClientError, TimeoutError):
            self.failed_uncut += 1
            raise
        self.made += request.url.port in self.ports
        self.open.add(made)
        return made

    def loses_next(self) -> bool:
        """Tell whether the cut loses the connection that is tried next."""
        self.tried += 1
        return self.how is not How.LOSSY or self.tried % 2 == 1

    async def is_refused_or_cut(self, server: engine.Server) -> bool:
        """Tell whether a server refuses connections, as the instance sees it."""
        if server.port in self.hidden and self.how is not How.LOSSY:
            return self.how is How.REFUSED
        return await self.is_refused(server)

    def begin(self, ports: Iterable[int], how: How) -> None:
        """Hide the servers at some ports; open connections live on."""
        self.ports = self.hidden = frozenset(ports)
        self.how = how

    def end(self) -> None:
        """Let the instance reach all servers again."""
        self.hidden = frozenset()

    def reset_open(self) -> None:
        """Break the open connections of the instance."""
        for transport in self.open_transports():
            transport.abort()

    def hold_open(self, is_held: bool) -> None:
        """Hold back what servers send on open connections, or go on with it."""
        for transport in self.open_transports():
            if is_held and transport.is_reading():
                transport.pause_reading()
            elif not is_held and not transport.is_reading():
                transport.resume_reading()

    def open_transports(self) -> list[asyncio.Transport]:
        """Return the transports of connections to servers that are still open."""
        found = (made.transport for made in list(self.open))
        return [one for one in found if one is not None and not one.is_closing()]


@contextlib.contextmanager
def cut(
    instances: Iterable[instance.Instance],
    servers: Iterable[poolserver.PoolServer],
    how: How = How.HANG,
) -> Iterator[list[Cut]]:
    """Cut instances off from servers while the context is active."""
    found = [Cut(one) for one in instances]
    ports = [server.port for server in servers]
    for one in found:
        one.begin(ports, how)
    try:
        yield found
    finally:
        for one in found:
            one.end()
