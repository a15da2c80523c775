"""Changes of one kind as a stream of JSON lines."""

from __future__ import annotations

import asyncio
import enum

import msgspec
from aiohttp import web

from tealcove import errors, ids
from tealcove.resources import codec, copy, kinds, log, problems

CONTENT_TYPE = "application/jsonl"
# Seconds between lines of a quiet stream: by a failed write a broken connection is
# found, and a watcher learns how far it may resume from.
BOOKMARK_INTERVAL = 10.0
# Seconds that a line may wait for a watcher that doesn't read, before it is dropped.
WRITE_TIMEOUT = 30.0
# Seconds before the log is asked again while the platform is down.
RETRY_DELAY = 1.0


class EventType(enum.Enum):
    """What a line tells."""

    PUT = "put"
    DELETED = "deleted"
    # Nothing of this kind changed up to this revision.
    BOOKMARK = "bookmark"
    ERROR = "error"


class Event(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A line of the stream; a watcher resumes from its revision."""

    type: EventType
    revision: ids.Revision
    name: str = ""
    resource: kinds.Resource | None = None
    problem: problems.Problem | None = None


def event_of(change: codec.Change) -> Event:
    """Return the line that tells of a change."""
    deleted = change.resource is None
    return Event(
        type=EventType.DELETED if deleted else EventType.PUT,
        revision=change.revision,
        name=change.name,
        resource=change.resource,
    )


class Watch:
    """One watcher's stream."""

    def __init__(
        self,
        changes: log.ConfigurationLog,
        own: copy.ConfigurationCopy,
        kind: kinds.Kind,
        revision: ids.Revision,
        stopping: asyncio.Event,
    ) -> None:
        self.log = changes
        self.copy = own
        self.kind = kind
        self.revision = revision
        self.written_revision = revision
        # Set when the instance leaves: a watch never ends by itself, and would hold
        # up the end of the instance.
        self.stopping = stopping
        self.stream = web.StreamResponse(headers={"Content-Type": CONTENT_TYPE})

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Write lines until the instance leaves or the changes were compacted.

        Raises CompactedError or PlatformUnavailableError before the first line,
        and TimeoutError when the watcher stops reading.
        """
        changes = await self.log.changes_after(self.revision)
        await self.stream.prepare(request)
        while not self.stopping.is_set():
            for change in changes:
                self.revision = change.revision
                if change.kind is self.kind:
                    await self.write(event_of(change))
            if not changes:
                await self.wait()
            try:
                changes = await self.log.changes_after(self.revision)
            except errors.PlatformUnavailableError:
                changes = []
                await asyncio.sleep(RETRY_DELAY)
            except errors.TealcoveError as error:
                await self.write_error(error)
                break
        return self.stream

    async def wait(self) -> None:
        """Wait for the next change of any kind, and write a line if none comes."""
        if self.written_revision < self.revision:
            await self.write_bookmark()
        following = ids.Revision(self.revision + 1)
        moved = asyncio.ensure_future(self.copy.wait_for(following))
        ended = asyncio.ensure_future(self.stopping.wait())
        try:
            done, _ = await asyncio.wait(
                (moved, ended),
                timeout=BOOKMARK_INTERVAL,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            moved.cancel()
            ended.cancel()
        if not done:
            await self.write_bookmark()

    async def write(self, event: Event) -> None:
        """Write one line."""
        self.written_revision = event.revision
        async with asyncio.timeout(WRITE_TIMEOUT):
            await self.stream.write(msgspec.json.encode(event) + b"\n")

    async def write_bookmark(self) -> None:
        """Write how far the watcher has seen."""
        await self.write(Event(type=EventType.BOOKMARK, revision=self.revision))

    async def write_error(self, error: errors.TealcoveError) -> None:
        """Write why the stream ends."""
        problem = problems.problem(error)
        await self.write(
            Event(type=EventType.ERROR, revision=self.revision, problem=problem)
        )
