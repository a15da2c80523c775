"""Test data of peers."""

from __future__ import annotations

import asyncio

import zmq

from tealcove import checked, ids, settings
from tealcove.peers import endpoint, mesh, message, security

# The text of the note that probes a connection; it is not recorded.
HELLO = "are you there"
PATIENCE = 30.0


class Note(message.Message):
    """A message that only tests send."""

    text: str


def keys(allowed: tuple[str, ...] = ()) -> settings.Curve:
    """Return a new key pair that allows itself and the given keys."""
    public, secret = (key.decode() for key in zmq.curve_keypair())
    return settings.Curve(
        checked.CurveKey(public),
        checked.Secret(secret),
        (checked.CurveKey(public), *allowed),
    )


async def start_mesh(
    name: str, received: list[str], curve: settings.Curve | None = None
) -> mesh.Mesh:
    """Return a mesh that listens and appends each note to a list."""
    secured = None if curve is None else security.Security(curve)
    found = mesh.Mesh(
        ids.InstanceId(name),
        ids.new_incarnation(),
        endpoint.Endpoint("127.0.0.1", 0),
        secured,
    )

    def record(sender: ids.InstanceId, note: Note) -> None:
        if note.text != HELLO:
            received.append(f"{sender}: {note.text}")

    found.handle(Note, record)
    await found.start()
    return found


async def connect(one: mesh.Mesh, two: mesh.Mesh) -> None:
    """Wait until messages from one mesh to another are no longer dropped."""
    async with asyncio.timeout(PATIENCE):
        while True:
            if one.send(two.listen, Note(text=HELLO)):
                return
            await asyncio.sleep(0.005)
