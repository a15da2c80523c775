"""`tealcove keys`: generate keys for a deployment and a caller or operator."""

from __future__ import annotations

import dataclasses
import secrets

import cappa
import msgspec
import zmq

from tealcove import bearer
from tealcove.commands import output

BEARER_BYTES = 32


class Bearer(msgspec.Struct, frozen=True):
    """A bearer key and its hash; only the hash is stored."""

    key: str
    key_hash: str


class CurvePair(msgspec.Struct, frozen=True):
    """The key pair of a deployment, in the form of the setting `peer.curve`."""

    public_key: str
    secret_key: str
    allowed: tuple[str, ...]


class KeySet(msgspec.Struct, frozen=True):
    """The keys that are printed."""

    curve: CurvePair
    bearer: Bearer


@cappa.command(
    name="keys",
    help="Draw new keys; nothing is stored or sent.",
    description=(
        "`curve` is for the settings of every instance (peer.curve). `bearer.key` is "
        "for a caller or an operator, `bearer.key_hash` for the settings or resource."
    ),
)
@dataclasses.dataclass
class Keys:
    """`keys` takes no arguments."""

    async def __call__(self) -> None:
        """Print new keys."""
        print(output.pretty(generate()))


def generate() -> KeySet:
    """Return new keys from the system's random source."""
    public, secret = (key.decode() for key in zmq.curve_keypair())
    key = secrets.token_urlsafe(BEARER_BYTES)
    return KeySet(
        CurvePair(public, secret, (public,)), Bearer(key, bearer.hash_key(key))
    )
