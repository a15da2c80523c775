"""This instance's copy of the list of backend servers."""

from __future__ import annotations

from collections.abc import Callable

import logbook
import msgspec

from tealcove import errors, ids
from tealcove.catalog import copies, declared, messages, packing
from tealcove.storage import feed

log = logbook.Logger("catalog")

# After an outage of the store, servers whose entries have expired write them again
# within about this many seconds; until then they are kept.
LAPSE_SECONDS = 2.0
# Dropped servers whose version is kept, so that an old row can't restore one.
MAX_DROPPED = 4000
# Changes of servers listed in one log line; further ones are only counted.
MAX_LOGGED_CHANGES = 10


class Known(msgspec.Struct, frozen=True):
    """A server's entry and the version of its row."""

    server: declared.BackendServer
    version: int


class Lapse(msgspec.Struct, frozen=True, array_like=True):
    """A server whose entry expired in an outage, and may be written again."""

    name: ids.BackendServerId
    # Seconds that remain for that.
    seconds: float


class ServersSnapshot(msgspec.Struct, frozen=True):
    """The whole list of servers as sent to a peer."""

    known: tuple[Known, ...]
    lapsed: tuple[Lapse, ...]


class ServersCopy(copies.Copy):
    """The backend servers with an entry or with a recently expired one."""

    topic = messages.Topic.SERVERS

    def __init__(self, decode: Callable[[str, bytes], declared.BackendServer]) -> None:
        super().__init__()
        self.decode = decode
        self.known: dict[ids.BackendServerId, Known] = {}
        self.dropped: dict[ids.BackendServerId, int] = {}
        # Keys of entries that can't be decoded, each logged once.
        self.unreadable: set[ids.BackendServerId] = set()
        # Servers whose entries expired during an outage of the store, and until when
        # they are kept.
        self.lapsed: dict[ids.BackendServerId, ids.Instant] = {}
        self.outage_ended = ids.Instant(float("-inf"))
        # Changes since the last log line.
        self.changes: list[str] = []

    def notify(self) -> None:
        """See Copy; also log the changes, in one line per revision.

        With one line per server, the log's rate limit would drop lines of requests in
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
        """Record the end of an outage of the store."""
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
        """Apply each row, unless a newer one of its key is known."""
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
        """Drop the servers that are missing in the whole list of a version."""
        for name in [name for name in self.known if name not in present]:
            if self.known[name].version <= version:
                self.drop(name, version, now)

    def version_of(self, name: ids.BackendServerId) -> int:
        """Return the version of the newest known row of a server."""
        known = self.known.get(name)
        dropped = self.dropped.get(name, 0)
        return dropped if known is None else max(known.version, dropped)

    def has_left(self, name: ids.BackendServerId) -> bool:
        """Return whether a server is leaving or gone; False if it is unknown."""
        known = self.known.get(name)
        if known is None:
            return name in self.dropped
        return known.server.state is declared.ServerState.LEAVING

    def put(self, known: Known) -> None:
        """Store a server's entry."""
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
        """Drop at once a server whose entry can't be decoded.

        Its last address was overwritten and may belong to another server now. There is
        no time to come back either, since the entry was written and did not expire.
        """
        self.note_dropped(name, version)
        self.lapsed.pop(name, None)
        was_known = self.known.pop(name, None) is not None
        # Its writer may repeat the write several times a second.
        if name in self.unreadable or len(self.unreadable) >= MAX_DROPPED:
            return
        self.unreadable.add(name)
        log.error(
            "cannot decode the entry of {}, {} before, version {}: {}",
            name,
            "one" if was_known else "none",
            version,
            error,
        )

    def note_dropped(self, name: ids.BackendServerId, version: int) -> None:
        """Record the version up to which a server's rows are outdated."""
        self.dropped[name] = version
        if len(self.dropped) > MAX_DROPPED:
            del self.dropped[next(iter(self.dropped))]

    def drop(self, name: ids.BackendServerId, version: int, now: ids.Instant) -> None:
        """Drop a server, at once or after it had time to write its entry again.

        During an outage of the store, servers can't renew their entries, and the store
        drops them although the servers are alive: if they were dropped here too, a
        whole service would seem gone for the first seconds after an outage.
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
        """Drop the lapsed servers whose entries were not written again in time."""
        due = [name for name, until in self.lapsed.items() if until <= now]
        for name in due:
            del self.lapsed[name]
            # A peer that keeps it for longer must not restore it.
            self.note_dropped(name, self.version_of(name))
            del self.known[name]
            self.changes.append(f"{name} is gone: its entry didn't come back")
        if due:
            self.notify()

    def encode(self, now: ids.Instant) -> bytes:
        """See Copy; repacked while the remaining seconds of lapses change."""
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
        """Keep a lapsed server for the seconds that remain at the peer."""
        if lapse.name in self.known:
            self.lapsed.setdefault(lapse.name, ids.Instant(now + lapse.seconds))

    def by_service(self) -> dict[ids.PoolId, list[declared.BackendServer]]:
        """Return all servers by service."""
        found: dict[ids.PoolId, list[declared.BackendServer]] = {}
        for known in self.known.values():
            found.setdefault(known.server.service, []).append(known.server)
        return found
