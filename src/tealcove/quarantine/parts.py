"""Records of the crashes that a part of prompts may have caused."""

from __future__ import annotations

import math
from collections.abc import Container, Iterable

import msgspec

from tealcove import ids

# The maximum of crashes in one record: all servers of a service may be lost at once.
MAX_CRASHES = 128
# Seconds by which the times of messages from different instances may be off.
TOLERANCE_SECONDS = 0.02


class SharedCrash(msgspec.Struct, frozen=True, array_like=True):
    """The crash of a server that ran a request with the part, as sent to peers."""

    server: ids.BackendServerId
    # The digest of the request.
    digest: str
    # Seconds since the crash, and from the request's sending to the crash.
    age: float
    ran: float
    # The other parts of the request.
    company: tuple[ids.PartId, ...] = ()


class Ruling(msgspec.Struct, frozen=True, array_like=True):
    """Whether a part is refused; the one with the highest number is in force."""

    number: int = 0
    is_convicted: bool = False
    # Answers don't end what an operator has decided.
    is_manual: bool = False

    def supersedes(self, other: Ruling) -> bool:
        """Tell whether this ruling is in force in place of another."""
        mine = (self.number, not self.is_convicted, self.is_manual)
        return mine > (other.number, not other.is_convicted, other.is_manual)


class SharedPart(msgspec.Struct, frozen=True, array_like=True):
    """A record as sent to peers and stored.

    A new field must come last and have a default; see peers.message.Message.
    """

    part: ids.PartId
    crashes: tuple[SharedCrash, ...]
    # The servers whose crashes the part didn't cause.
    acquitted: tuple[ids.BackendServerId, ...]
    ruling: Ruling
    # Seconds until the conviction ends; negative: since it ended.
    convicted_for: float
    # Seconds until the record ends.
    remaining: float


class Crash(msgspec.Struct, frozen=True):
    """The crash of a server that ran a request with the part."""

    server: ids.BackendServerId
    digest: str
    # When the request was sent, and when its server was found to be gone.
    sent: ids.Instant
    at: ids.Instant
    # The other parts of the request, or of several ones.
    company: frozenset[ids.PartId] = frozenset()

    def joined(self, other: Crash) -> Crash:
        """Return the same crash by two reports, with the earlier times."""
        return msgspec.structs.replace(
            self,
            sent=min(self.sent, other.sent),
            at=min(self.at, other.at),
            company=self.company | other.company,
        )


class PartRecord(msgspec.Struct):
    """All that is known of one part."""

    crashes: dict[ids.BackendServerId, Crash] = {}
    acquitted: set[ids.BackendServerId] = set()
    ruling: Ruling = Ruling()
    convicted_until: ids.Instant = ids.Instant(0.0)
    # When the record ends.
    until: ids.Instant = ids.Instant(0.0)
    # Its part of the ledger's checksum, updated with each change.
    fingerprint: int = 0

    def is_convicted(self, now: ids.Instant) -> bool:
        """Tell whether requests with the part are refused."""
        return self.ruling.is_convicted and now < self.convicted_until

    def is_on_probation(self, now: ids.Instant) -> bool:
        """Tell whether a conviction has ended by time, and no answer has cleared it."""
        return self.ruling.is_convicted and now >= self.convicted_until

    def counted(
        self, explained: Container[ids.BackendServerId], now: ids.Instant
    ) -> list[Crash]:
        """Return the crashes that accuse the part, in order of time."""
        since = self.convicted_until if self.is_on_probation(now) else -math.inf
        found = (
            crash
            for server, crash in self.crashes.items()
            if server not in self.acquitted
            and server not in explained
            and crash.at > since
        )
        return sorted(found, key=lambda crash: crash.at)

    def add(self, crash: Crash) -> bool:
        """Record a crash; return False if it is known or there are too many."""
        known = self.crashes.get(crash.server)
        if known is not None:
            self.crashes[crash.server] = known.joined(crash)
            return False
        if len(self.crashes) >= MAX_CRASHES:
            self.drop_acquitted()
        if len(self.crashes) >= MAX_CRASHES:
            return False
        self.crashes[crash.server] = crash
        return True

    def drop_acquitted(self) -> None:
        """Drop the oldest crash that doesn't accuse the part, if there is one."""
        void = [c for server, c in self.crashes.items() if server in self.acquitted]
        if void:
            oldest = min(void, key=lambda crash: crash.at)
            del self.crashes[oldest.server]
            self.acquitted.discard(oldest.server)

    def acquit(self, servers: Iterable[ids.BackendServerId]) -> bool:
        """Record that the part didn't cause some crashes; return False if known."""
        new = set(servers) - self.acquitted
        self.acquitted |= new
        return bool(new)

    def canonical_text(self) -> str:
        """Return a text that is equal for two records with the same evidence.

        Which crashes answers speak against isn't part of it: each dispatcher knows
        that by itself.
        """
        ruling = self.ruling
        return (
            f"{sorted(self.crashes)}"
            f"{ruling.number}{ruling.is_convicted}{ruling.is_manual}"
        )


def count_events(crashes: Iterable[Crash]) -> int:
    """Count the crashes, in order of time, that happened one after the other.

    Servers that are lost at once are one event: a crash counts by itself only if its
    request was sent after the crash before.
    """
    count = 0
    end = -math.inf
    for crash in crashes:
        if crash.sent > end - TOLERANCE_SECONDS:
            count += 1
        end = max(end, crash.at)
    return count


def count_evidence(crashes: list[Crash]) -> int:
    """Count the events that accuse a part and not only one request.

    All crashes of one request say as much of it as of its parts, and count as two
    events at most.
    """
    requests = len({crash.digest for crash in crashes})
    return min(count_events(crashes), requests + 1)
