"""This instance's copy of the list of backend servers."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from tealcove import errors, ids
from tealcove.catalog import (
    changelog,
    copies,
    declared,
    messages,
    packing,
    restoration,
    snapshot,
)
from tealcove.storage import feed, revisions

log = logbook.Logger("catalog")

# After an outage of the store, servers whose entries have expired write them again
# within about this many seconds; until then they are kept.
LAPSE_SECONDS = 2.0
# Dropped servers whose version is kept, so that an old row can't restore one.
MAX_DROPPED = 4000


class ServersCopy(copies.Copy):
    """The backend servers with an entry or with a recently expired one."""

    topic = messages.Topic.SERVERS

    def __init__(self, decode: Callable[[str, bytes], declared.BackendServer]) -> None:
        super().__init__()
        self.decode = decode
        self.known: dict[ids.BackendServerId, snapshot.Known] = {}
        self.dropped: dict[ids.BackendServerId, int] = {}
        # Keys of entries that can't be decoded, each logged once.
        self.unreadable: set[ids.BackendServerId] = set()
        # Servers whose entries expired during an outage of the store, and until when
        # they are kept.
        self.lapsed: dict[ids.BackendServerId, ids.Instant] = {}
        self.outage_ended = ids.Instant(float("-inf"))
        self.restoration = restoration.Restoration()
        # Changes since the last log line.
        self.changes = changelog.ChangeLog()

    def notify(self) -> None:
        """See Copy; also log the changes."""
        changes = self.changes.take()
        if changes is not None:
            log.info(
                "backend servers at revision {}: {}; {} known",
                revisions.text(self.revision),
                changes,
                len(self.known),
            )
        super().notify()

    def note_outage_ended(self, now: ids.Instant) -> None:
        """Record the end of an outage of the store."""
        self.outage_ended = now

    def replace(self, page: feed.Page, now: ids.Instant) -> None:
        """See Copy."""
        self.note_era(page.version, now)
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
            self.take(snapshot.Known(server, entry.version), now)

    def note_era(self, revision: int, now: ids.Instant) -> None:
        """Note the era of a whole list; a later one means that the store returned."""
        if self.restoration.begin(revision, self.revision):
            log.info(
                "the store was restored: at {}, {} before",
                revisions.text(revision),
                revisions.text(self.revision),
            )
            # Servers write the entries that the copy lacks again, as after an outage.
            self.outage_ended = max(self.outage_ended, now)

    def take(self, entry: snapshot.Known, now: ids.Instant) -> None:
        """Store an entry that is newer by its revision, unless it may be outdated."""
        name = entry.server.name
        known = self.known.get(name)
        version = self.version_of(name)
        until = self.restoration.withheld_until(entry, known, version, now)
        if until is None:
            self.put(entry)
            return
        if known is None:
            self.note_dropped(name, entry.version)
        else:
            self.put(snapshot.Known(known.server, entry.version))
        self.withhold(entry, until)

    def withhold(self, entry: snapshot.Known, until: ids.Instant) -> None:
        """Keep an entry that is older than what is known, without using it."""
        self.restoration.hold(entry, until)
        self.changes.add(f"the store's older entry of {entry.server.name} is unused")

    def drop_missing(
        self, present: set[ids.BackendServerId], version: int, now: ids.Instant
    ) -> None:
        """Drop the servers that are missing in the whole list of a version."""
        for name in dict.fromkeys((*self.known, *self.restoration.withheld)):
            if name not in present and self.version_of(name) <= version:
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

    def put(self, known: snapshot.Known) -> None:
        """Store a server's entry."""
        server = known.server
        self.restoration.forget(server.name)
        before = self.known.get(server.name)
        self.lapsed.pop(server.name, None)
        self.known[server.name] = known
        if before is None or before.server != server:
            self.changes.add(
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
        self.restoration.forget(name)
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
        self.restoration.forget(name)
        known = self.known.get(name)
        if known is None:
            return
        until = ids.Instant(self.outage_ended + LAPSE_SECONDS)
        is_leaving = known.server.state is declared.ServerState.LEAVING
        if now < until and not is_leaving:
            self.lapsed[name] = min(until, self.lapsed.get(name, until))
            self.changes.add(f"{name} lapsed")
            return
        del self.known[name]
        self.lapsed.pop(name, None)
        self.changes.add(f"{name} is gone")

    def expire_lapses(self, now: ids.Instant) -> None:
        """Drop the lapsed servers whose entries were not written again in time."""
        due = [name for name, until in self.lapsed.items() if until <= now]
        for name in due:
            del self.lapsed[name]
            # A peer that keeps it for longer must not restore it.
            self.note_dropped(name, self.version_of(name))
            del self.known[name]
            self.changes.add(f"{name} is gone: its entry didn't come back")
        if due:
            self.notify()

    def release_withheld(self, now: ids.Instant) -> None:
        """Use the withheld entries that still stand: their servers renewed them."""
        due = self.restoration.due(now)
        for entry in due:
            self.put(entry)
        if due:
            self.notify()

    def encode(self, now: ids.Instant) -> bytes:
        """See Copy; repacked while the remaining seconds change."""
        if self.lapsed or self.restoration.withheld:
            self.packed = None
        return super().encode(now)

    def content(self, now: ids.Instant) -> object:
        """See Copy."""
        lapsed = tuple(
            snapshot.Lapse(name, max(0.0, until - now))
            for name, until in self.lapsed.items()
        )
        return snapshot.ServersSnapshot(
            tuple(self.known.values()), lapsed, self.restoration.sent(now)
        )

    def adopt(self, told: messages.Told, now: ids.Instant) -> None:
        """See Copy."""
        is_newer = told.revision > self.revision
        is_same_era = revisions.era_of(told.revision) == revisions.era_of(self.revision)
        found = packing.unpack(told.content, snapshot.ServersSnapshot)
        if not is_newer and not (is_same_era and found.withheld):
            return
        if is_newer:
            self.note_era(told.revision, now)
            present = {known.server.name for known in found.known}
            present.update(one.entry.server.name for one in found.withheld)
            self.drop_missing(present, told.revision, now)
            self.revision = told.revision
        for known in found.known:
            if known.version > self.version_of(known.server.name):
                self.take(known, now)
        for lapse in found.lapsed:
            self.adopt_lapse(lapse, now)
        for one in found.withheld:
            self.adopt_withheld(one, found, now)
        self.notify()

    def adopt_withheld(
        self,
        sent: snapshot.SentWithheld,
        found: snapshot.ServersSnapshot,
        now: ids.Instant,
    ) -> None:
        """Withhold an entry as a peer does, unless the server's row is newer here."""
        name = sent.entry.server.name
        if self.version_of(name) > sent.entry.version:
            return
        kept = next((one for one in found.known if one.server.name == name), None)
        if kept is not None:
            self.put(kept)
        else:
            self.note_dropped(name, sent.entry.version)
            self.lapsed.pop(name, None)
            self.known.pop(name, None)
        self.withhold(sent.entry, ids.Instant(now + sent.seconds))

    def adopt_lapse(self, lapse: snapshot.Lapse, now: ids.Instant) -> None:
        """Keep a lapsed server for the seconds that remain at the peer."""
        if lapse.name in self.known:
            self.lapsed.setdefault(lapse.name, ids.Instant(now + lapse.seconds))
