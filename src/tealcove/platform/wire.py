"""The store's wire format: rows, pages, replies and their errors."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import TypeVar

import msgspec

from tealcove import count, decoding, errors, ids
from tealcove.storage import feed, revisions

T = TypeVar("T")


class WireRow(msgspec.Struct, omit_defaults=True):
    """A row in the store's wire format; decode_page replaces its version."""

    table: str
    key: str
    part: str = ""
    # Base64.
    value: str = ""
    # The version of the row's last change; in a condition, the required one.
    row_version: int = 0
    # In a feed: the row was deleted.
    tombstone: bool = False

    def content(self) -> bytes:
        """Decode the value; raises PlatformUnavailableError."""
        try:
            return base64.b64decode(self.value, validate=True)
        except ValueError as error:
            raise unavailable(f"a row's value can't be read: {error}") from error

    def entry(self) -> feed.Entry:
        """Convert the row to an entry of a feed.

        One row that isn't valid base64 must not make the whole table unreadable: its
        text is returned undecoded, so that the consumer skips only this row.
        """
        if self.tombstone:
            return feed.Entry(self.key, None, self.row_version)
        try:
            content = self.content()
        except errors.PlatformUnavailableError:
            content = self.value.encode()
        return feed.Entry(self.key, content, self.row_version)


class WireTransaction(msgspec.Struct):
    """The request body of a transaction."""

    # Conditions: version 0 means that the row must be absent.
    expect_rev: tuple[WireCondition, ...] = ()
    puts: tuple[WireRow, ...] = ()
    drop: tuple[WireRow, ...] = ()


class WireCondition(msgspec.Struct):
    """The version that a row must have; always encoded, since 0 has a meaning."""

    table: str
    key: str
    row_version: int
    part: str = ""


class WirePage(msgspec.Struct):
    """Rows, and the newest version of the whole store at that time."""

    rows: tuple[WireRow, ...] = ()
    row_version: int = 0
    has_more: bool = False
    # The store's own monotonic clock in milliseconds.
    now_ms: float = 0.0


class Reply(msgspec.Struct, frozen=True):
    """A complete reply of the store."""

    status: int
    content: bytes
    # The era that it names, or the one known when the call began.
    era: ids.Era = ids.NO_ERA


def era_named(values: list[str]) -> ids.Era | None:
    """Return the era in the values of a header, or None if they name none."""
    era = count.read(values[0]) if len(values) == 1 else None
    return None if era is None or era > revisions.MAX_ERA else ids.Era(era)


def decode_page(
    reply: Reply, decode: Callable[[bytes, type[WirePage]], WirePage] | None = None
) -> WirePage:
    """Decode a page, its versions as revisions of the reply's era.

    Raises the errors of `decode`, by default those of decode_read.
    """
    page = (decode or decode_read)(reply.content, WirePage)
    page.row_version = revisions.revision_of(reply.era, page.row_version)
    for row in page.rows:
        row.row_version = revisions.revision_of(reply.era, row.row_version)
    return page


def decode_read(content: bytes, kind: type[T]) -> T:
    """Decode the reply to a read; raises PlatformUnavailableError."""
    try:
        return decoding.decode_json(content, kind)
    except msgspec.MsgspecError as error:
        raise unavailable(f"a reply can't be understood: {error}") from error


def decode_write(content: bytes, kind: type[T]) -> T:
    """Decode the reply to a write; raises OutcomeUnknownError."""
    try:
        return decoding.decode_json(content, kind)
    except msgspec.MsgspecError as error:
        raise unknown(f"a reply can't be understood: {error}") from error


def restored(era: ids.Era, since: int) -> feed.HistoryLostError:
    """Return the error for a feed that was read in another era."""
    return feed.HistoryLostError(
        f"the store is in era {era}: nothing goes on from {revisions.text(since)}",
        "Read the whole table.",
    )


def unavailable(problem: str) -> errors.PlatformUnavailableError:
    """Return the error for a call that certainly changed nothing."""
    return errors.PlatformUnavailableError(
        f"the platform can't be used: {problem}",
        "Try again later; check the platform's address and state.",
    )


def unknown(problem: str) -> errors.OutcomeUnknownError:
    """Return the error for a write that may have been applied."""
    return errors.OutcomeUnknownError(
        f"a write may have been applied: {problem}",
        "Read what it would have changed to find out.",
    )
