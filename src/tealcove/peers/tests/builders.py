"""Test data of peers."""

from __future__ import annotations

import zmq

from tealcove import checked, ids, settings
from tealcove.peers import endpoint, mesh, message, security


class Note(message.Message):
    """A message that only tests send."""

    text: str


def keys(allowed: tuple[str, ...] = ()) -> settings.Curve:
    """Return a new key pair that lets itself and the given keys in."""
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
    found.handle(Note, lambda sender, note: received.append(f"{sender}: {note.text}"))
    await found.start()
    return found
