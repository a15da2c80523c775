"""Checks whether a backend server still listens."""

from __future__ import annotations

import asyncio

from tealcove import stalls
from tealcove.backends import engine

CONNECT_TIMEOUT = 0.5
# A dying process may reset its connections a moment before its port closes.
ATTEMPTS = 2
RETRY_PAUSE = 0.05


async def refuses_connections(server: engine.Server, own: stalls.Stalls) -> bool:
    """Return whether connections are refused: no process listens there any more.

    A server that is unreachable in any other way may be alive behind a network
    partition, so it doesn't count as dead. `own`: this process's stalls.
    """
    for attempt in range(ATTEMPTS):
        if attempt > 0:
            await asyncio.sleep(RETRY_PAUSE)
        try:
            async with own.timeout(CONNECT_TIMEOUT):
                _, writer = await asyncio.open_connection(server.host, server.port)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
    return False
