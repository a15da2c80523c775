"""Marks: records of the crashes that a request may have caused, by digest."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Callable, Container

import msgspec

from tealcove import ids
from tealcove.quarantine import ledger

# The maximum of marks at an instance; beyond it, the one that ends first is evicted.
MAX_MARKS = 1000
# The maximum of crashes recorded for one digest; two suffice for a quarantine.
MAX_CRASHES = 16
CRASHES_TO_QUARANTINE = 2
CHECKSUM_BYTES = 8


class Verdict(enum.Enum):
    """How a scheduler treats requests with a digest."""

    CLEAR = "clear"
    # It may have crashed a backend server: it runs alone on a server.
    SUSPECT = "suspect"
    # It crashed two backend servers: it isn't run.
    QUARANTINED = "quarantined"


class Crash(msgspec.Struct, frozen=True, order=True):
    """A run of a request during which its backend server crashed.

    The request id identifies the run, so that a crash which both the entry and the
    dispatcher detect counts once.
    """

    request_id: ids.RequestId
    server: ids.BackendServerId
    # Whether no other request ran on the server.
    alone: bool = False


class SharedMark(msgspec.Struct, frozen=True):
    """A mark as sent to peers and stored; `remaining` is in seconds."""

    digest: str
    crashes: tuple[Crash, ...]
    cleared: tuple[ids.RequestId, ...]
    remaining: float


class Mark(msgspec.Struct):
    """The crashes of a digest, and those cleared by a complete run alone."""

    crashes: set[Crash]
    cleared: set[ids.RequestId]
    until: ids.Instant

    def count(self, explained: Container[ids.BackendServerId]) -> int:
        """Count the crashes that the request may have caused.

        Neither those that are cleared, nor those that something else explains.

        Copies that ran concurrently on one server saw the same crash. If it were
        counted twice, one crash would quarantine every prompt that is sent often.
        """
        uncleared = [
            crash
            for crash in self.crashes
            if crash.request_id not in self.cleared and crash.server not in explained
        ]
        alone = sum(1 for crash in uncleared if crash.alone)
        return alone + len({crash.server for crash in uncleared if not crash.alone})

    def has_room(self, crashes: int) -> bool:
        """Return whether more crashes fit in; drop cleared ones if necessary."""
        if len(self.crashes) + crashes > MAX_CRASHES:
            self.crashes = {c for c in self.crashes if c.request_id not in self.cleared}
        return len(self.crashes) + crashes <= MAX_CRASHES

    def canonical_text(self) -> str:
        """Return a text that is equal for two marks with the same content."""
        crashes = [f"{c.request_id}@{c.server}" for c in sorted(self.crashes)]
        return f"{crashes}{sorted(self.cleared)}"


def nothing() -> Container[ids.BackendServerId]:
    """Return no servers."""
    return ()


class Marks(ledger.Ledger[SharedMark]):
    """The marks of an instance."""

    def __init__(
        self,
        quarantine_seconds: float,
        crashes_to_quarantine: int = CRASHES_TO_QUARANTINE,
        explained: Callable[[], Container[ids.BackendServerId]] = nothing,
    ) -> None:
        self.quarantine_seconds = quarantine_seconds
        self.crashes_to_quarantine = crashes_to_quarantine
        # Returns the servers whose crashes have another cause than the request.
        self.explained = explained
        self.marks: dict[str, Mark] = {}
        self.version = 0

    def verdict(self, digest: str, now: ids.Instant) -> Verdict:
        """Return the verdict on a digest."""
        count = self.count(digest, now)
        if count >= self.crashes_to_quarantine:
            return Verdict.QUARANTINED
        return Verdict.SUSPECT if count else Verdict.CLEAR

    def count(self, digest: str, now: ids.Instant) -> int:
        """Count the crashes that the requests with a digest may have caused."""
        mark = self.marks.get(digest)
        if mark is None or mark.until <= now:
            return 0
        return mark.count(self.explained())

    def remaining(self, digest: str, now: ids.Instant) -> float:
        """Return the seconds until a digest's mark ends."""
        mark = self.marks.get(digest)
        return 0.0 if mark is None else max(0.0, mark.until - now)

    def add_crash(self, digest: str, crash: Crash, now: ids.Instant) -> bool:
        """Record a crash detected here; return False if it was known."""
        return self.merge(
            SharedMark(digest, (crash,), (), self.quarantine_seconds), now
        )

    def clear(self, digest: str, now: ids.Instant) -> bool:
        """Clear a digest after a complete run; return False if it was clear already."""
        mark = self.marks.get(digest)
        if mark is None or mark.until <= now:
            return False
        added = {crash.request_id for crash in mark.crashes} - mark.cleared
        mark.cleared |= added
        self.version += bool(added)
        return bool(added)

    def has_crash(self, digest: str, run: ids.RequestId) -> bool:
        """Return whether a run is recorded as a crash of its digest."""
        mark = self.marks.get(digest)
        return mark is not None and any(c.request_id == run for c in mark.crashes)

    def merge(self, shared: SharedMark, now: ids.Instant) -> bool:
        """See Ledger.

        Only a crash that is new here extends a mark. If every message did, its delay
        would prolong the mark, and instances that repeat it to each other would keep
        it for ever.
        """
        mark = self.marks.get(shared.digest)
        if mark is None or mark.until <= now:
            mark = Mark(set(), set(), ids.Instant(now))
        crashes = set(shared.crashes) - mark.crashes
        cleared = set(shared.cleared) - mark.cleared
        if not crashes and not cleared:
            return False
        if not mark.has_room(len(crashes)):
            return False
        if crashes:
            mark.until = ids.Instant(max(mark.until, now + shared.remaining))
        mark.crashes |= crashes
        mark.cleared |= cleared
        self.marks[shared.digest] = mark
        self.version += 1
        self.evict_excess()
        return True

    def evict_excess(self) -> None:
        """Drop the mark that ends first if there are too many."""
        if len(self.marks) > MAX_MARKS:
            first = min(self.marks, key=lambda digest: self.marks[digest].until)
            del self.marks[first]

    def sweep(self, now: ids.Instant) -> None:
        """See Ledger."""
        for digest, mark in list(self.marks.items()):
            if mark.until <= now:
                del self.marks[digest]
                self.version += 1

    def all_keys(self) -> list[str]:
        """See Ledger."""
        return sorted(self.marks)

    def aged(self, shared: SharedMark, seconds: float) -> SharedMark:
        """See Ledger."""
        return msgspec.structs.replace(shared, remaining=shared.remaining - seconds)

    def shared(self, digest: str, now: ids.Instant) -> SharedMark | None:
        """See Ledger."""
        mark = self.marks.get(digest)
        if mark is None or mark.until - now < ledger.MIN_SHARED_SECONDS:
            return None
        return SharedMark(
            digest=digest,
            crashes=tuple(sorted(mark.crashes)),
            cleared=tuple(sorted(mark.cleared)),
            remaining=mark.until - now,
        )

    def checksum(self, now: ids.Instant) -> int:
        """See Ledger."""
        found = 0
        for digest, mark in self.marks.items():
            if mark.until - now >= ledger.MIN_SHARED_SECONDS:
                text = f"{digest}{mark.canonical_text()}".encode()
                part = hashlib.blake2b(text, digest_size=CHECKSUM_BYTES).digest()
                found ^= int.from_bytes(part)
        return found
