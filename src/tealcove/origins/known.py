"""What an instance knows of one service: origins of streams, and versions."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

from tealcove import ids
from tealcove.origins import messages

# Seconds from the first event of a stream to the last try of its caller, at most.
STREAM_SECONDS = 30.0
# The most origins that are kept: a thousand streams a second.
MAX_ORIGINS = 30000


class Recorded(msgspec.Struct, frozen=True):
    """The version of a stream, and when it was recorded."""

    version: ids.SoftwareVersion
    at: ids.Instant


class Origins:
    """The versions at which streams began, kept for the life of a stream."""

    def __init__(self) -> None:
        # In the order in which they were recorded.
        self.recorded: dict[bytes, Recorded] = {}

    def add(self, origin: messages.Origin, now: ids.Instant) -> None:
        """Record the origin of a stream, and drop old ones."""
        self.recorded.pop(origin.stream, None)
        self.recorded[origin.stream] = Recorded(origin.version, now)
        self.expire(now)

    def expire(self, now: ids.Instant) -> None:
        """Drop the origins of streams that have ended by now."""
        while self.recorded:
            oldest = next(iter(self.recorded))
            is_over = now - self.recorded[oldest].at > STREAM_SECONDS
            if not is_over and len(self.recorded) <= MAX_ORIGINS:
                return
            del self.recorded[oldest]

    def find(self, stream: bytes) -> ids.SoftwareVersion | None:
        """Return the version at which a stream began, or None."""
        found = self.recorded.get(stream)
        return None if found is None else found.version

    def all(self) -> tuple[messages.Origin, ...]:
        """Return all origins."""
        return tuple(
            messages.Origin(stream, one.version)
            for stream, one in self.recorded.items()
        )


class VersionHistory:
    """The software versions that served within the life of a stream."""

    def __init__(self) -> None:
        self.listed: frozenset[ids.SoftwareVersion] = frozenset()
        # When versions that have left the list were last in it.
        self.left: dict[ids.SoftwareVersion, ids.Instant] = {}
        # Since when all versions are known; None: no list is known yet.
        self.since: ids.Instant | None = None

    def update(self, listed: Iterable[ids.SoftwareVersion], now: ids.Instant) -> None:
        """Apply the versions of the listed servers."""
        listed = frozenset(listed)
        if self.since is None:
            self.since = now
        for version in self.listed - listed:
            self.left[version] = now
        self.listed = listed

    def note(self, version: ids.SoftwareVersion, at: ids.Instant) -> None:
        """Record that a version served at a time, whether or not the list has it."""
        if version not in self.listed:
            self.left[version] = max(at, self.left.get(version, at))

    def served(self, now: ids.Instant) -> frozenset[ids.SoftwareVersion]:
        """Return the versions that served within the life of a stream."""
        self.left = {
            version: at
            for version, at in self.left.items()
            if now - at <= STREAM_SECONDS
        }
        return self.listed.union(self.left)

    def add(
        self, served: Mapping[ids.SoftwareVersion, float], now: ids.Instant
    ) -> None:
        """Add versions with the seconds since each was last listed elsewhere."""
        for version, age in served.items():
            self.note(version, ids.Instant(now - age))

    def ages(self, now: ids.Instant) -> dict[ids.SoftwareVersion, float]:
        """Return the seconds since each version was last listed; 0: it serves."""
        left = {version: now - at for version, at in self.left.items()}
        return {**left, **dict.fromkeys(self.listed, 0.0)}

    def set_complete(self) -> None:
        """Record that all versions are known, also of the time before the list."""
        self.since = ids.Instant(-math.inf)

    def times(self) -> dict[ids.SoftwareVersion, ids.Instant | None]:
        """Return when each version that served has left; None: it is listed."""
        return {**self.left, **dict.fromkeys(self.listed)}

    def is_complete(self, now: ids.Instant) -> bool:
        """Tell whether all versions of that time are known."""
        return self.since is not None and now - self.since > STREAM_SECONDS


class ServiceOrigins:
    """What an instance knows of the streams of one service."""

    def __init__(self) -> None:
        self.history = VersionHistory()
        # Of streams that began here, and of those that others reported.
        self.own = Origins()
        self.reported = Origins()
        # Of streams that began here and haven't been reported yet.
        self.unreported: list[messages.Origin] = []
        # The homes that have all of this instance's origins.
        self.informed: frozenset[tuple[ids.InstanceId, ids.Incarnation]] = frozenset()
        # Whether this instance keeps the origins in the store, and the listed versions
        # that it keeps there.
        self.is_keeping = False
        self.kept_versions: frozenset[ids.SoftwareVersion] | None = None

    def find(self, stream: bytes) -> ids.SoftwareVersion | None:
        """Return the version at which a stream began, or None."""
        found = self.own.find(stream)
        return self.reported.find(stream) if found is None else found

    def is_mixed(self, now: ids.Instant) -> bool:
        """Tell whether streams of several versions may be open."""
        return len(self.history.served(now)) > 1
