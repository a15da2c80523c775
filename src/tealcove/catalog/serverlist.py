"""This instance's copy of the list of backend servers."""

from __future__ import annotations

from collections.abc import Callable

import logbook
import msgspec

from tealcove import errors, ids
from tealcove.catalog import copies, declared, messages, packing
from tealcove.storage import feed

log = logbook.Logger("catalog")

# After the store was out of reach, servers whose entries had lapsed write them
# anew within about this many seconds; until then they count as still there.
LAPSE_SECONDS = 2.0
# Dropped servers whose version is remembered, so that an old row can't bring one back.
MAX_DROPPED = 4000
# Changes of servers that one line of the log tells of, the others are counted.
MAX_LOGGED_CHANGES = 10


class Known(msgspec.Struct, frozen=True):
    """A server's entry and the version at which it became so."""

    server: declared.BackendServer
    version: int


class Lapse(msgspec.Struct, frozen=True, array_like=True):
    """A server whose entry lapsed in an outage, and may come back."""

    name: ids.BackendServerId
    # Seconds that are left for that.
    seconds: float


class ServersSnapshot(msgspec.Struct, frozen=True):
    """All that a peer knows of the servers."""

    known: tuple[Known, ...]
    lapsed: tuple[Lapse, ...]


class ServersCopy(copies.Copy):
    """The backend servers that have an entry, or had one a moment ago."""

    topic = messages.Topic.SERVERS

    def __init__(self, decode: Callable[[str, bytes], declared.BackendServer]) -> None:
        super().__init__()
        self.decode = decode
        self.known: dict[ids.BackendServerId, Known] = {}
        self.dropped: dict[ids.BackendServerId, int] = {}
        # Keys of entries that can't be read, each logged once.
        self.unreadable: set[ids.BackendServerId] = set()
        # Servers whose entries lapsed while the store was out of reach, and until
        # when they count as there all the same.
        self.lapsed: dict[ids.BackendServerId, ids.Instant] = {}
        self.outage_ended = ids.Instant(float("-inf"))
        # What has changed since the last line of the log.
        self.changes: list[str] = []

    def notify(self) -> None:
        """See Copy; also log what has changed, in one line a revision.

        With a line for each server, lines of requests would be dropped among them in
        the first seconds of a large group.
        """
        changes, self.changes = self.changes, []
        if changes:
            shown = "; ".join(changes[:MAX_LOGGED_CHANGES])
            more = len(changes) - MAX_LOGGED_CHANGES
            log.info(
                "backend servers at revision {}: {}{}; {} known",
                self.revision,
                shown,
                f"; and {more} more changes" if more > 0 else "",
                len(self.known),
            )
        super().notify()

    def note_outage_ended(self, now: ids.Instant) -> None:
        """Remember that the store is in reach again."""
        self.outage_ended = now

    def replace(self, page: feed.Page, now: ids.Instant) -> None:
        """See Copy."""
        present = {ids.BackendServerId(entry.key) for entry in page.entries}
        self.drop_missing(present, page.version, now)
        self.apply_entries(page, now)
        self.revision = ids.Revision(max(self.revision, page.version))
        self.notify()

    def apply(self, page: feed.Page, now: ids.Instant) -> None:
        """See Copy."""
        if not page.entries:
            return
        self.apply_entries(page, now)
        newest = max(entry.version for entry in page.entries)
        self.revision = ids.Revision(max(self.revision, newest))
        self.notify()

    def apply_entries(self, page: feed.Page, now: ids.Instant) -> None:
        """Take in rows, each unless a newer one of its key is known."""
        for entry in page.entries:
            name = ids.BackendServerId(entry.key)
            if entry.version <= self.version_of(name):
                continue
            if entry.value is None:
                self.drop(name, entry.version, now)
                continue
            try:
                server = self.decode(entry.key, entry.value)
            except errors.PlatformError as error:
                self.forget(name, entry.version, error)
                continue
            self.unreadable.discard(name)
            self.put(Known(server, entry.version))

    def drop_missing(
        self, present: set[ids.BackendServerId], version: int, now: ids.Instant
    ) -> None:
        """Let go of the servers that a whole list of some version doesn't have."""
        for name in [name for name in self.known if name not in present]:
            if self.known[name].version <= version:
                self.drop(name, version, now)

    def version_of(self, name: ids.BackendServerId) -> int:
        """Return the version of the newest row that is known of a server."""
        known = self.known.get(name)
        dropped = self.dropped.get(name, 0)
        return dropped if known is None else max(known.version, dropped)

    def has_left(self, name: ids.BackendServerId) -> bool:
        """Tell whether a server leaves or is gone; False where none is known."""
        known = self.known.get(name)
        if known is None:
            return name in self.dropped
        return known.server.state is declared.ServerState.LEAVING

    def put(self, known: Known) -> None:
        """Take over an entry."""
        server = known.server
        before = self.known.get(server.name)
        self.lapsed.pop(server.name, None)
        self.known[server.name] = known
        if before is None or before.server != server:
            self.changes.append(
                f"{server.name} of {server.service} is {server.state.value} at "
                f"{server.host}:{server.port}, start {server.start}"
            )

    def forget(
        self, name: ids.BackendServerId, version: int, error: errors.PlatformError
    ) -> None:
        """Let go at once of a server whose entry can't be read.

        It names no server any more: requests would go to an address that was
        overwritten, maybe because another server has it now. Nor does it lapse, since
        somebody has written it.
        """
        self.note_dropped(name, version)
        self.lapsed.pop(name, None)
        was_known = self.known.pop(name, None) is not None
        # Its writer may repeat it several times a second.
        if name in self.unreadable or len(self.unreadable) >= MAX_DROPPED:
            return
        self.unreadable.add(name)
        log.error(
            "the entry of {} names no server, {} before, version {}: {}",
            name,
            "one" if was_known else "none",
            version,
            error,
        )

    def note_dropped(self, name: ids.BackendServerId, version: int) -> None:
        """Remember up to which version rows of a server are old."""
        self.dropped[name] = version
        if len(self.dropped) > MAX_DROPPED:
            del self.dropped[next(iter(self.dropped))]

    def drop(self, name: ids.BackendServerId, version: int, now: ids.Instant) -> None:
        """Let go of a server, at once or when it has had time to come back.

        While the store is out of reach, servers can't renew their entries. The
        store drops these entries although their servers live: dropped here too,
        a whole service would seem gone for the first seconds after an outage.
        """
        self.note_dropped(name, version)
        self.unreadable.discard(name)
        known = self.known.get(name)
        if known is None:
            return
        until = ids.Instant(self.outage_ended + LAPSE_SECONDS)
        is_leaving = known.server.state is declared.ServerState.LEAVING
        if now < until and not is_leaving:
            self.lapsed[name] = min(until, self.lapsed.get(name, until))
            self.changes.append(f"{name} lapsed")
            return
        del self.known[name]
        self.lapsed.pop(name, None)
        self.changes.append(f"{name} is gone")

    def expire_lapses(self, now: ids.Instant) -> None:
        """Let go of the lapsed servers that haven't come back in time."""
        due = [name for name, until in self.lapsed.items() if until <= now]
        for name in due:
            del self.lapsed[name]
            # A peer that gives it longer mustn't bring it back.
            self.note_dropped(name, self.version_of(name))
            del self.known[name]
            self.changes.append(f"{name} is gone: its entry didn't come back")
        if due:
            self.notify()

    def encode(self, now: ids.Instant) -> bytes:
        """See Copy; what is left of a lapse is less each time."""
        if self.lapsed:
            self.packed = None
        return super().encode(now)

    def content(self, now: ids.Instant) -> object:
        """See Copy."""
        lapsed = tuple(
            Lapse(name, max(0.0, until - now)) for name, until in self.lapsed.items()
        )
        return ServersSnapshot(tuple(self.known.values()), lapsed)

    def adopt(self, told: messages.Told, now: ids.Instant) -> None:
        """See Copy."""
        if told.revision <= self.revision:
            return
        found = packing.unpack(told.content, ServersSnapshot)
        present = {known.server.name for known in found.known}
        self.drop_missing(present, told.revision, now)
        for known in found.known:
            if known.version > self.version_of(known.server.name):
                self.put(known)
        for lapse in found.lapsed:
            self.adopt_lapse(lapse, now)
        self.revision = told.revision
        self.notify()

    def adopt_lapse(self, lapse: Lapse, now: ids.Instant) -> None:
        """Give a server what is left of the time that the peer gives it."""
        if lapse.name in self.known:
            self.lapsed.setdefault(lapse.name, ids.Instant(now + lapse.seconds))

    def by_service(self) -> dict[ids.PoolId, list[declared.BackendServer]]:
        """Return all servers by the service that they are of."""
        found: dict[ids.PoolId, list[declared.BackendServer]] = {}
        for known in self.known.values():
            found.setdefault(known.server.service, []).append(known.server)
        return found
