"""Entries of a restored store that are older than what is known of their servers."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from tealcove import ids
from tealcove.catalog import declared, snapshot
from tealcove.storage import revisions

# Seconds after the store's return for which an older entry is withheld: the store drops
# the entries of servers that are silent for much less.
WITHHOLD_SECONDS = 10.0
FOR_GOOD = float("inf")


class Withheld(msgspec.Struct, frozen=True):
    """An entry that isn't used."""

    entry: snapshot.Known
    # When it is used after all, unless the server's row changes before.
    until: ids.Instant


class Restoration:
    """The current era of the store, and the entries that are withheld in it."""

    def __init__(self) -> None:
        # The first revision of the era that was read here; entries up to it may be
        # those of the copy.
        self.era_began = 0
        # Whether an earlier era was known here.
        self.was_restored = False
        self.withheld: dict[ids.BackendServerId, Withheld] = {}
        # Called when the store has been restored.
        self.listeners: list[Callable[[], None]] = []

    def begin(self, revision: int, known: ids.Revision) -> bool:
        """Note a whole list's revision; return whether the store was restored.

        `known` is the revision of the list before, 0 if there was none.
        """
        if revisions.era_of(revision) <= revisions.era_of(self.era_began):
            return False
        self.era_began = revision
        if not known:
            return False
        self.was_restored = True
        for listener in self.listeners:
            listener()
        return True

    def withheld_until(
        self,
        entry: snapshot.Known,
        known: snapshot.Known | None,
        version: int,
        now: ids.Instant,
    ) -> ids.Instant | None:
        """Return until when a newer row must not be used, or None if it may be.

        `known` is what is known of its server, None if it is gone, and `version` the
        revision of its last row.
        """
        is_written_since = entry.version > self.era_began
        if is_written_since or not revisions.may_be_outdated(entry.version, version):
            return None
        if known is None:
            return ids.Instant(now + WITHHOLD_SECONDS)
        if replaces(entry.server, known.server):
            return None
        return ids.Instant(now + seconds_to_withhold(entry.server, known.server))

    def hold(self, entry: snapshot.Known, until: ids.Instant) -> None:
        """Withhold an entry."""
        self.withheld[entry.server.name] = Withheld(entry, until)

    def forget(self, name: ids.BackendServerId) -> None:
        """Forget a server's withheld entry, as its row has changed."""
        self.withheld.pop(name, None)

    def start_of(self, name: ids.BackendServerId) -> ids.ServerStart | None:
        """Return the start in a server's withheld entry, or None without one."""
        withheld = self.withheld.get(name)
        return None if withheld is None else withheld.entry.server.start

    def due(self, now: ids.Instant) -> list[snapshot.Known]:
        """Return the entries that still stand and are no longer withheld."""
        return [one.entry for one in self.withheld.values() if one.until <= now]

    def sent(self, now: ids.Instant) -> tuple[snapshot.SentWithheld, ...]:
        """Return the withheld entries in the form that is sent to peers."""
        return tuple(
            snapshot.SentWithheld(one.entry, max(0.0, one.until - now))
            for one in self.withheld.values()
        )


def replaces(entry: declared.BackendServer, known: declared.BackendServer) -> bool:
    """Return whether an entry of uncertain age can't be older than a known one.

    A server that leaves doesn't become ready again.
    """
    is_leaving = entry.state is declared.ServerState.LEAVING
    return entry == known or (is_leaving and entry.start == known.start)


def seconds_to_withhold(
    entry: declared.BackendServer, known: declared.BackendServer
) -> float:
    """Return for how long an entry is withheld for what is known of its server."""
    is_leaving = known.state is declared.ServerState.LEAVING
    return FOR_GOOD if is_leaving and entry.start == known.start else WITHHOLD_SECONDS
