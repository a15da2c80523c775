"""Sockets that detect a peer which no longer responds."""

from __future__ import annotations

import socket

import aiohttp

# A connection may be lost without being closed. A long poll, which the other side may
# hold for half a minute, would then only end with its timeout, and the instance would
# serve with an old configuration in the meantime. Idle seconds before the first probe,
# seconds between probes, and unanswered probes until the connection counts as lost:
# 3 s in all, the time within which an instance is expected to be up to date again.
IDLE_SECONDS = 1
INTERVAL_SECONDS = 1
PROBES = 2
# Milliseconds for which sent bytes may stay unacknowledged.
UNACKNOWLEDGED_MS = 2000


def new_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket for aiohttp with TCP keepalive."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family=family, type=kind, proto=protocol)
    created.setblocking(False)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_SECONDS)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return created
