"""The list of backend servers as it is sent to a peer."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.catalog import declared


class Known(msgspec.Struct, frozen=True):
    """A server's entry and the revision of its row."""

    server: declared.BackendServer
    version: int


class Lapse(msgspec.Struct, frozen=True, array_like=True):
    """A server whose entry expired in an outage, and may be written again."""

    name: ids.BackendServerId
    # Seconds that remain for that.
    seconds: float


class SentWithheld(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the restored store that is older than what the sender knows."""

    entry: Known
    # Seconds that remain until the sender uses it after all.
    seconds: float


class ServersSnapshot(msgspec.Struct, frozen=True):
    """The whole list of servers as sent to a peer."""

    known: tuple[Known, ...]
    lapsed: tuple[Lapse, ...]
    withheld: tuple[SentWithheld, ...] = ()
