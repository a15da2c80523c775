"""Watches: the changes of one kind as a stream of JSON lines."""

from __future__ import annotations

import asyncio
import enum

import msgspec
from aiohttp import web

from tealcove import errors, ids
from tealcove.resources import codec, copy, kinds, log, problems

CONTENT_TYPE = "application/jsonl"
# Seconds between bookmarks on an idle stream: a failed write detects a broken
# connection, and the bookmark tells the watcher the revision to resume from.
BOOKMARK_INTERVAL = 10.0
# Seconds that a write may block on a watcher that doesn't read, before it fails.
WRITE_TIMEOUT = 30.0
# Seconds between reads of the log while the platform is down.
RETRY_DELAY = 1.0


class EventType(enum.Enum):
    """The type of an event."""

    PUT = "put"
    DELETED = "deleted"
    # All changes of this kind up to this revision have been sent.
    BOOKMARK = "bookmark"
    ERROR = "error"


class Event(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An event, sent as one line; a watcher can resume from its revision."""

    type: EventType
    revision: ids.Revision
    name: str = ""
    resource: kinds.Resource | None = None
    problem: problems.Problem | None = None


def event_of(change: codec.Change) -> Event:
    """Return the event for a change."""
    deleted = change.resource is None
    return Event(
        type=EventType.DELETED if deleted else EventType.PUT,
        revision=change.revision,
        name=change.name,
        resource=change.resource,
    )


class Watch:
    """The event stream of one watcher."""

    def __init__(
        self,
        change_log: log.ConfigurationLog,
        local_copy: copy.ConfigurationCopy,
        kind: kinds.Kind,
        revision: ids.Revision,
        stopping: asyncio.Event,
    ) -> None:
        self.log = change_log
        self.copy = local_copy
        self.kind = kind
        self.revision = revision
        self.written_revision = revision
        # Set when the instance shuts down: a watch never ends by itself and would
        # block the shutdown.
        self.stopping = stopping
        self.stream = web.StreamResponse(headers={"Content-Type": CONTENT_TYPE})

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Write events until the instance shuts down or the changes are compacted.

        Raises CompactedError or PlatformUnavailableError before the first event,
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
        """Wait for the next change of any kind; write a bookmark on a timeout."""
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
        """Write one event as a line."""
        self.written_revision = event.revision
        async with asyncio.timeout(WRITE_TIMEOUT):
            await self.stream.write(msgspec.json.encode(event) + b"\n")

    async def write_bookmark(self) -> None:
        """Write a bookmark with the current revision."""
        await self.write(Event(type=EventType.BOOKMARK, revision=self.revision))

    async def write_error(self, error: errors.TealcoveError) -> None:
        """Write the error that ends the stream."""
        problem = problems.problem(error)
        await self.write(
            Event(type=EventType.ERROR, revision=self.revision, problem=problem)
        )
