"""This instance's copies of the catalog; they only move to newer positions."""

from __future__ import annotations

import abc
from collections.abc import Callable

import logbook

from tealcove import errors, ids
from tealcove.catalog import declared, lookup, messages, packing, position
from tealcove.storage import feed, revisions

log = logbook.Logger("catalog")

NOTHING = ids.Revision(0)


class Copy(abc.ABC):
    """The local copy of one topic."""

    topic: messages.Topic

    def __init__(self) -> None:
        self.revision = NOTHING
        # The writer's own number; see position.Position.
        self.version = 0
        # Called after each change.
        self.listeners: list[Callable[[], None]] = []
        # The encoded copy for peers, until the next change.
        self.packed: bytes | None = None

    @property
    def position(self) -> position.Position:
        """The place of this copy in the order of all copies."""
        return position.Position(self.revision, self.version)

    @abc.abstractmethod
    def replace(self, page: feed.Page, now: ids.Instant) -> None:
        """Replace the copy by all rows as of one version of the store."""

    @abc.abstractmethod
    def apply(self, page: feed.Page, now: ids.Instant) -> None:
        """Apply changed rows."""

    @abc.abstractmethod
    def content(self, now: ids.Instant) -> object:
        """Return the whole copy in the form that is sent to peers."""

    @abc.abstractmethod
    def adopt(self, told: messages.Told, now: ids.Instant) -> None:
        """Replace the copy by a peer's if that is newer; raises PlatformError."""

    def encode(self, now: ids.Instant) -> bytes:
        """Return the encoded copy, packed once for all peers."""
        if self.packed is None:
            self.packed = packing.pack(self.content(now))
        return self.packed

    def notify(self) -> None:
        """Call the listeners after a change."""
        self.packed = None
        for listener in self.listeners:
            listener()


class ConfigurationCopy(Copy):
    """The operator's configuration in force here."""

    topic = messages.Topic.CONFIGURATION

    def __init__(self, key: str, decode: Callable[[bytes], declared.Catalog]) -> None:
        super().__init__()
        self.key = key
        self.decode = decode
        # None until the first configuration is known.
        self.current: lookup.Lookup | None = None

    def replace(self, page: feed.Page, now: ids.Instant) -> None:
        """See Copy."""
        self.apply(page, now)

    def apply(self, page: feed.Page, now: ids.Instant) -> None:
        """See Copy."""
        for entry in page.entries:
            if entry.key == self.key and entry.value is not None:
                self.put(entry.value, ids.Revision(entry.version))

    def put(self, content: bytes, revision: ids.Revision) -> None:
        """Put an encoded configuration in force, unless a newer one is."""
        is_same_era = revisions.era_of(revision) == revisions.era_of(self.revision)
        if is_same_era and revision <= self.revision:
            return
        try:
            catalog = self.decode(content)
        except errors.PlatformError as error:
            shown = revisions.text(revision)
            log.error("revision {} is not in force: {}", shown, error)
            return
        self.offer(catalog, revision, "the store")

    def offer(
        self, catalog: declared.Catalog, revision: ids.Revision, source: str
    ) -> None:
        """Put a decoded configuration in force, unless a newer one is."""
        offered = position.Position(revision, catalog.version)
        if offered.is_after(self.position):
            self.install(catalog, revision, source)
            return
        log.info(
            "configuration {} from {}, version {}, is not in force: version {} is",
            revisions.text(revision),
            source,
            catalog.version,
            self.version,
        )

    def install(
        self, catalog: declared.Catalog, revision: ids.Revision, source: str
    ) -> None:
        """Put a decoded configuration in force in one step."""
        before = self.revision
        self.revision = revision
        # An instance of the version before tells no number.
        self.version = max(self.version, catalog.version)
        self.current = lookup.Lookup(catalog, revision)
        log.info(
            "configuration {}, version {}, in force from {}, {} before: "
            "{} routes, {} accounts",
            revisions.text(revision),
            self.version,
            source,
            revisions.text(before),
            len(catalog.routes),
            len(catalog.accounts),
        )
        self.notify()

    def content(self, now: ids.Instant) -> object:
        """See Copy."""
        return None if self.current is None else self.current.catalog

    def adopt(self, told: messages.Told, now: ids.Instant) -> None:
        """See Copy."""
        if not position.Position(told.revision, told.version).is_after(self.position):
            return
        found = packing.unpack(told.content, declared.Catalog | None)
        if found is not None:
            self.install(found, told.revision, "a peer")
