"""Sockets that notice a peer which has fallen silent."""

from __future__ import annotations

import socket

import aiohttp

# A connection may fall silent for good without being closed. A question that the
# other side may hold for half a minute would be waited for as long, and changes
# missed in the meantime; one would notice an instance that serves by an old
# configuration. Seconds of silence before the first probe, between probes, and
# probes without an answer before the connection counts as lost: 3 s in all, the
# time after which an instance is expected to be up to date again.
IDLE_SECONDS = 1
INTERVAL_SECONDS = 1
PROBES = 2
# Milliseconds that written bytes may stay unacknowledged.
UNACKNOWLEDGED_MS = 2000


def new_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket for aiohttp that probes its connection."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family=family, type=kind, proto=protocol)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made
