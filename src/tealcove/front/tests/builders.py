"""Test data for instances on the users' platform."""

from __future__ import annotations

import socket

LISTENING = ("callers", "ready", "directory", "peers")


def settings_of_a_process() -> dict[str, object]:
    """Return the settings of an instance on free ports, whose store is down."""
    sockets = [socket.socket() for _ in (*LISTENING, "store")]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{one.getsockname()[1]}" for one in sockets]
    for one in sockets:
        one.close()
    *listening, store = addresses
    return {
        "instance": "i-0",
        "data_centre": "dc-1",
        "listen": dict(zip(LISTENING, listening, strict=True)),
        "store": {"address": store},
    }
