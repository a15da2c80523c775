"""A Python client for operators and callers of a deployment."""

from __future__ import annotations

import asyncio
import secrets
import typing

import aiohttp
import msgspec

from tealcove import connection, decoding, ids, resourcefiles
from tealcove.entry import points
from tealcove.resources import codec, documents, kinds, watch

ADMIN = "/admin/v1"
STATUS = f"{ADMIN}/status"
ENTRY_POINTS = "/v1/entry-points"
PAGE_SIZE = 500
KEY_BYTES = 16
WATCH_RETRY_SECONDS = 0.5
# Longer than the interval at which an instance writes a line to an idle watch.
WATCH_SILENCE_SECONDS = 30.0
STATUS_INTERVAL_SECONDS = 0.2
NOT_JSON = "An instance of another version may answer; compare their versions."


class ResourceView(msgspec.Struct, frozen=True, kw_only=True):
    """A resource as returned by an instance."""

    kind: kinds.Kind
    metadata: kinds.Metadata
    spec: dict[str, typing.Any]
    status: documents.ResourceStatus | None = None

    def resource(self) -> kinds.Resource:
        """Return the resource with its spec converted to the type of its kind."""
        return kinds.Resource(
            kind=self.kind,
            metadata=self.metadata,
            spec=codec.convert_spec(self.kind, self.spec),
        )


class Page(msgspec.Struct, frozen=True):
    """A page of a list."""

    items: tuple[ResourceView, ...]
    next: str | None


class Event(msgspec.Struct, frozen=True):
    """A change reported by a watch."""

    type: str
    revision: ids.Revision
    name: str = ""
    resource: ResourceView | None = None
    problem: connection.Problem | None = None


PUT = watch.EventType.PUT.value
DELETED = watch.EventType.DELETED.value
ERROR = watch.EventType.ERROR.value


class Client(connection.Connection):
    """Reads and writes resources and entry points at any instance that answers."""

    async def entry_points(self) -> points.EntryPoints:
        """Return the addresses of the entry points and add them to the known ones."""
        found = decode(await self.call("GET", ENTRY_POINTS), points.EntryPoints)
        self.add_servers(point.url for point in found.entry_points)
        return found

    async def get(self, kind: kinds.Kind, name: str) -> ResourceView | None:
        """Return a resource, or None."""
        try:
            return decode(await self.call("GET", path_of(kind, name)), ResourceView)
        except connection.RefusedError as refusal:
            if refusal.status == connection.HTTP_NOT_FOUND:
                return None
            raise

    async def list(self, kind: kinds.Kind) -> list[ResourceView]:
        """Return all resources of a kind, in order of name."""
        found: list[ResourceView] = []
        after: str | None = ""
        while after is not None:
            params = {"limit": str(PAGE_SIZE), "after": after}
            body = await self.call("GET", f"{ADMIN}/{kind.value}", params=params)
            page = decode(body, Page)
            found.extend(page.items)
            after = page.next
        return found

    async def put(
        self,
        declared: resourcefiles.Declared,
        based_on: ids.Revision | None,
        dry_run: bool = False,
    ) -> ResourceView:
        """Write a resource that is at revision `based_on`; None: it's new.

        Raises ConflictError if the resource has changed meanwhile.
        """
        body = msgspec.json.encode({"spec": declared.spec})
        path = path_of(declared.kind, declared.name)
        params = {"dry_run": "true"} if dry_run else {}
        answer = await self.call(
            "PUT", path, data=body, headers=write_headers(based_on), params=params
        )
        return decode(answer, ResourceView)

    async def delete(
        self, kind: kinds.Kind, name: str, based_on: ids.Revision
    ) -> ids.Revision:
        """Delete a resource that is at revision `based_on`; raises ConflictError."""
        path = path_of(kind, name)
        answer = await self.call("DELETE", path, headers=write_headers(based_on))
        return decode(answer, documents.Deleted).revision

    async def status(self) -> documents.ConfigurationStatus:
        """Return the revision of one instance and where it is in force."""
        return decode(await self.call("GET", STATUS), documents.ConfigurationStatus)

    async def newest_revision(self) -> ids.Revision:
        """Return the highest revision of all serving instances."""
        await self.entry_points()
        asked = [self.status_at(server) for server in self.servers]
        found = [one.revision for one in await asyncio.gather(*asked) if one]
        if not found:
            raise self.unavailable()
        return max(found)

    async def status_at(self, server: str) -> documents.ConfigurationStatus | None:
        """Return the status of one instance; None if it can't be reached."""
        try:
            body = await self.call_at(server, "GET", STATUS, {})
        except (aiohttp.ClientError, TimeoutError):
            return None
        return decode(body, documents.ConfigurationStatus)

    async def in_force(
        self, revision: ids.Revision
    ) -> typing.AsyncIterator[documents.ConfigurationStatus]:
        """Yield the status repeatedly until the revision is in force."""
        while True:
            found = await self.status()
            yield found
            counted = found.in_force
            if found.revision >= revision and counted.instances == counted.of:
                return
            await asyncio.sleep(STATUS_INTERVAL_SECONDS)

    async def watch(
        self, kind: kinds.Kind, after: ids.Revision
    ) -> typing.AsyncIterator[Event]:
        """Yield each change after a revision, without end.

        If the watched instance disappears, the watch resumes at another one from the
        last revision seen. Raises RefusedError if changes were compacted meanwhile.
        """
        while True:
            try:
                async for event in self.watch_once(kind, after):
                    after = max(after, event.revision)
                    if event.type in (PUT, DELETED):
                        yield event
            except (aiohttp.ClientError, TimeoutError):
                # Disconnected: the next attempt goes to the same or another instance.
                self.move_to_end(self.servers[0])
            await asyncio.sleep(WATCH_RETRY_SECONDS)

    async def watch_once(
        self, kind: kinds.Kind, after: ids.Revision
    ) -> typing.AsyncIterator[Event]:
        """Yield the events of one stream until it ends."""
        params = {"watch": "true", "revision": str(after)}
        path = f"{ADMIN}/{kind.value}"
        response = await self.open("GET", path, None, params=params)
        async with response:
            if response.status >= connection.HTTP_FIRST_ERROR:
                raise connection.error_from_response(
                    response.status, await response.read()
                )
            while True:
                async with asyncio.timeout(WATCH_SILENCE_SECONDS):
                    line = await response.content.readline()
                if not line:
                    return
                event = decode(line, Event)
                if event.type == ERROR and event.problem is not None:
                    raise connection.RefusedError(response.status, event.problem)
                yield event


def path_of(kind: kinds.Kind, name: str) -> str:
    """Return the path of a resource."""
    return f"{ADMIN}/{kind.value}/{name}"


def write_headers(based_on: ids.Revision | None) -> dict[str, str]:
    """Return the headers that make a write conditional and safe to retry."""
    key = secrets.token_hex(KEY_BYTES)
    if based_on is None:
        return {"Idempotency-Key": key, "If-None-Match": "*"}
    return {"Idempotency-Key": key, "If-Match": f'"{based_on}"'}


T = typing.TypeVar("T")


def decode(body: bytes, shape: type[T]) -> T:
    """Decode an answer; raises ClientError if it has another type."""
    try:
        return decoding.decode_json(body, shape)
    except msgspec.DecodeError as failure:
        raise connection.ClientError(
            f"The answer isn't understood: {failure}", NOT_JSON
        ) from failure
