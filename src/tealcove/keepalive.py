"""Sockets that detect a peer which no longer responds."""

from __future__ import annotations

import socket
from collections.abc import Callable

import aiohttp

# Idle seconds before the first keep-alive probe, and seconds between two.
IDLE_SECONDS = 1
INTERVAL_SECONDS = 1
MILLISECONDS = 1000


def socket_factory(seconds: int) -> Callable[[aiohttp.AddrInfoType], socket.socket]:
    """Return a factory of sockets for aiohttp, broken after so many silent seconds.

    A connection may be lost without being closed, and a call that the other side may
    hold for long would then only end with its own timeout. The user timeout applies to
    unacknowledged bytes, and to unanswered probes whatever their number.
    """

    def new_socket(address: aiohttp.AddrInfoType) -> socket.socket:
        family, kind, protocol, _, _ = address
        created = socket.socket(family=family, type=kind, proto=protocol)
        created.setblocking(False)
        created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        options = {
            socket.TCP_KEEPIDLE: IDLE_SECONDS,
            socket.TCP_KEEPINTVL: INTERVAL_SECONDS,
            socket.TCP_KEEPCNT: max(1, (seconds - IDLE_SECONDS) // INTERVAL_SECONDS),
            socket.TCP_USER_TIMEOUT: seconds * MILLISECONDS,
            socket.TCP_NODELAY: 1,
        }
        for option, value in options.items():
            created.setsockopt(socket.IPPROTO_TCP, option, value)
        return created

    return new_socket
