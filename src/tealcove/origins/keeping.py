"""Origins of streams in the platform's store, where they outlive all instances."""

from __future__ import annotations

import asyncio
import itertools

import logbook
import msgspec

from tealcove import clock, decoding, errors, ids, tasks
from tealcove.origins import known, messages
from tealcove.storage import table

log = logbook.Logger("origins")

TABLE = "origins"
# Seconds between two writes, and from a failed one to the next.
WRITE_INTERVAL = 0.1
RETRY_INTERVAL = 0.5
# The most origins in a row, 25 bytes each, and the seconds for which a row is added to.
ROW_ORIGINS = 1000
ROW_SECONDS = 1.0
# Rows that one transaction writes and deletes at most.
MAX_WRITTEN = 10
MAX_DELETED = 50
# Rows that are read at most.
MAX_ROWS = 2000

# For each version, the store's time in seconds when it left; None: it serves.
Versions = dict[ids.SoftwareVersion, float | None]
# The same by this process's clock.
Times = dict[ids.SoftwareVersion, ids.Instant | None]


class Kept(msgspec.Struct, frozen=True):
    """What the store has of one service."""

    origins: tuple[messages.Origin, ...]
    # The seconds since each version was last listed; empty: there were never several.
    served: dict[ids.SoftwareVersion, float]


class OpenRow(msgspec.Struct):
    """A row that this process writes."""

    key: str
    began: ids.Instant
    origins: list[messages.Origin] = []
    is_written: bool = True


class ServiceRows:
    """The rows of one service that this process writes."""

    def __init__(self, service: ids.PoolId, writer: ids.Incarnation) -> None:
        self.service = service
        self.writer = writer
        self.numbers = itertools.count()
        self.open: list[OpenRow] = []
        # Rows of earlier writers, and when they were found.
        self.foreign: dict[str, ids.Instant] | None = None
        # The versions that serve, or when they left; None: they are written.
        self.versions: Times | None = None

    def add(self, origins: tuple[messages.Origin, ...], now: ids.Instant) -> None:
        """Add origins, which are to be written."""
        for origin in origins:
            row = self.open[-1] if self.open else None
            if row is None or self.is_full(row, now):
                key = f"{self.service}/{self.writer}/{next(self.numbers):08}"
                row = OpenRow(key, now)
                self.open.append(row)
            row.origins.append(origin)
            row.is_written = False

    def is_full(self, row: OpenRow, now: ids.Instant) -> bool:
        """Tell whether further origins belong into another row."""
        is_large = len(row.origins) >= ROW_ORIGINS
        return is_large or now - row.began > ROW_SECONDS

    def outdated(self, now: ids.Instant) -> list[str]:
        """Return the keys of rows whose streams have ended."""
        since = now - known.STREAM_SECONDS
        own = [one.key for one in self.open if one.began + ROW_SECONDS < since]
        foreign = [key for key, at in (self.foreign or {}).items() if at < since]
        return [*own, *foreign][:MAX_DELETED]

    def forget(self, keys: list[str]) -> None:
        """Forget rows that were deleted."""
        self.open = [one for one in self.open if one.key not in keys]
        self.foreign = {
            k: at for k, at in (self.foreign or {}).items() if k not in keys
        }

    @property
    def is_pending(self) -> bool:
        """Whether anything is to be written."""
        has_unwritten = any(not one.is_written for one in self.open)
        return has_unwritten or self.versions is not None


class Keeper:
    """Writes the origins of streams to the store, and reads them."""

    def __init__(self, rows: table.TimedTable, writer: ids.Incarnation) -> None:
        self.rows = rows
        self.writer = writer
        self.services: dict[ids.PoolId, ServiceRows] = {}
        self.has_work = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to write."""
        self.task = tasks.start_loop(self.run, "origins of streams")

    async def stop(self) -> None:
        """Stop writing."""
        if self.task is not None:
            await tasks.stop([self.task])

    def of_service(self, service: ids.PoolId) -> ServiceRows:
        """Return the rows of a service."""
        found = self.services.get(service)
        if found is None:
            found = self.services[service] = ServiceRows(service, self.writer)
        return found

    def add(
        self,
        service: ids.PoolId,
        origins: tuple[messages.Origin, ...],
        now: ids.Instant,
    ) -> None:
        """Keep origins of a service."""
        self.of_service(service).add(origins, now)
        self.has_work.set()

    def note_versions(self, service: ids.PoolId, versions: Times) -> None:
        """Keep which versions of a service serve from now on, and when others left."""
        self.of_service(service).versions = versions
        self.has_work.set()

    async def run(self) -> None:
        """Write what is to be kept, until cancelled."""
        # What was to be written when this loop failed, if it did.
        self.has_work.set()
        while True:
            await self.has_work.wait()
            self.has_work.clear()
            pause = WRITE_INTERVAL
            # More services may come while one is written.
            for found in list(self.services.values()):
                try:
                    await self.write(found, clock.now())
                except errors.PlatformError as error:
                    log.info("origins of {} not kept yet: {}", found.service, error)
                    pause = RETRY_INTERVAL
                except Exception:
                    # A fault in one service's rows mustn't hold up the others'.
                    log.exception("origins of {} can't be written", found.service)
                    pause = RETRY_INTERVAL
            await asyncio.sleep(pause)
            if any(found.is_pending for found in self.services.values()):
                self.has_work.set()

    async def write(self, found: ServiceRows, now: ids.Instant) -> None:
        """Write the rows of a service that have changed; raises PlatformError."""
        if found.versions is not None:
            await self.write_versions(found, now)
        changed = [one for one in found.open if not one.is_written][:MAX_WRITTEN]
        if not changed:
            return
        if found.foreign is None:
            found.foreign = await self.foreign_rows(found, now)
        puts = [table.Put(TABLE, row.key, encode(row.origins)) for row in changed]
        keys = found.outdated(now)
        deletes = [table.Delete(TABLE, key) for key in keys]
        counts = [len(row.origins) for row in changed]
        await self.rows.commit(table.Transaction((), (*puts, *deletes)))
        for row, count in zip(changed, counts, strict=True):
            # More may have been added meanwhile.
            row.is_written = len(row.origins) == count
        found.forget(keys)

    async def foreign_rows(
        self, found: ServiceRows, now: ids.Instant
    ) -> dict[str, ids.Instant]:
        """Return the rows that other processes wrote; raises PlatformError."""
        rows = await self.rows_of(found.service)
        own = f"{found.service}/{self.writer}/"
        return {row.key: now for row in rows if not row.key.startswith(own)}

    async def rows_of(self, service: ids.PoolId) -> list[table.Row]:
        """Return the rows with origins of a service; raises PlatformError."""
        prefix = f"{service}/"
        rows = await self.rows.scan(TABLE, prefix, MAX_ROWS)
        return [row for row in rows if row.key.startswith(prefix)]

    async def write_versions(self, found: ServiceRows, now: ids.Instant) -> None:
        """Write which versions serve, and when others left; raises PlatformError."""
        noted = found.versions
        reading = await self.rows.read_at(TABLE, found.service)
        before = decode_versions(reading)
        versions = {
            version: None if left is None else reading.seconds - (now - left)
            for version, left in noted.items()
        }
        for version, left in before.items():
            if version not in versions and is_recent(left, reading):
                versions[version] = reading.seconds if left is None else left
            elif left is not None and versions.get(version) is not None:
                # Whoever wrote that has seen it leave.
                versions[version] = left
        if versions != before:
            value = msgspec.msgpack.encode(versions)
            put = table.Put(TABLE, found.service, value)
            await self.rows.commit(table.Transaction((), (put,)))
            log.info("versions of {} kept: {}", found.service, versions)
        if found.versions is noted:
            found.versions = None

    async def read(self, service: ids.PoolId) -> Kept:
        """Return what the store has of a service; raises PlatformError."""
        reading, rows = await asyncio.gather(
            self.rows.read_at(TABLE, service), self.rows_of(service)
        )
        origins = itertools.chain.from_iterable(decode(row.value) for row in rows)
        served = {
            version: 0.0 if left is None else reading.seconds - left
            for version, left in decode_versions(reading).items()
        }
        return Kept(tuple(origins), served)


def encode(origins: list[messages.Origin]) -> bytes:
    """Return the value of a row."""
    return msgspec.msgpack.encode(origins)


def decode(value: bytes) -> list[messages.Origin]:
    """Return the origins in a row; none if it can't be decoded."""
    try:
        return decoding.decode_msgpack(value, list[messages.Origin])
    except msgspec.MsgspecError as error:
        log.warning("a row with origins can't be decoded and is ignored: {}", error)
        return []


def decode_versions(reading: table.Reading) -> Versions:
    """Return the versions in the row of a service; raises PlatformError."""
    if reading.row is None:
        return {}
    try:
        return decoding.decode_msgpack(reading.row.value, Versions)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(
            f"the row of versions of {reading.row.key} can't be decoded: {error}",
            f"Delete it from the table {TABLE}.",
        ) from error


def is_recent(left: float | None, reading: table.Reading) -> bool:
    """Tell whether a version served within the life of a stream."""
    return left is None or reading.seconds - left <= known.STREAM_SECONDS
