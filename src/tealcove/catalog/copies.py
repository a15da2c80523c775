"""This instance's copies of the catalog; they only move to newer revisions."""

from __future__ import annotations

import abc
from collections.abc import Callable

import logbook

from tealcove import errors, ids
from tealcove.catalog import declared, lookup, messages, packing
from tealcove.storage import feed

log = logbook.Logger("catalog")

NOTHING = ids.Revision(0)


class Copy(abc.ABC):
    """The local copy of one topic."""

    topic: messages.Topic

    def __init__(self) -> None:
        self.revision = NOTHING
        # Called after each change.
        self.listeners: list[Callable[[], None]] = []
        # The encoded copy for peers, until the next change.
        self.packed: bytes | None = None

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
        if revision <= self.revision:
            if revision < self.revision:
                log.info(
                    "configuration {} is not in force: {} is newer",
                    revision,
                    self.revision,
                )
            return
        try:
            catalog = self.decode(content)
        except errors.PlatformError as error:
            log.error("revision {} is not in force: {}", revision, error)
            return
        self.install(catalog, revision, "the store")

    def install(
        self, catalog: declared.Catalog, revision: ids.Revision, source: str
    ) -> None:
        """Put a decoded configuration in force in one step."""
        before = self.revision
        self.revision = revision
        self.current = lookup.Lookup(catalog, revision)
        log.info(
            "configuration {} in force from {}, {} before: {} routes, {} accounts",
            revision,
            source,
            before,
            len(catalog.routes),
            len(catalog.accounts),
        )
        self.notify()

    def content(self, now: ids.Instant) -> object:
        """See Copy."""
        return None if self.current is None else self.current.catalog

    def adopt(self, told: messages.Told, now: ids.Instant) -> None:
        """See Copy."""
        if told.revision <= self.revision:
            return
        found = packing.unpack(told.content, declared.Catalog | None)
        if found is not None:
            self.install(found, told.revision, "a peer")
