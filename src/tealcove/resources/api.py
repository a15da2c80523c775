"""The resource API over HTTP, under /admin/v1."""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from tealcove import clock, errors, ids
from tealcove.resources import (
    copy,
    decision,
    documents,
    edits,
    headers,
    kinds,
    problems,
    refusals,
    status,
    store,
    watch,
)

PREFIX = "/admin/v1"
MERGE_PATCH = ("application/merge-patch+json", "application/json")
OPERATOR = web.RequestKey("operator", str)

# Returns the operator's name, or raises refusals.UnauthorisedError.
Authorise = Callable[[web.Request], str]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ResourceApi:
    """Request handlers of the resource API, which every instance serves."""

    def __init__(
        self,
        resources: store.ResourceStore,
        local_copy: copy.ConfigurationCopy,
        authorise: Authorise,
        source: status.StatusSource,
        now: Callable[[], ids.Instant] = clock.now,
    ) -> None:
        self.store = resources
        self.copy = local_copy
        self.authorise = authorise
        self.status = source
        self.now = now
        self.stopping = asyncio.Event()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for an application."""
        resource_path = PREFIX + "/{kind}/{name}"
        return [
            web.get(f"{PREFIX}/status", self.wrap_handler(self.show_status)),
            web.get(PREFIX + "/{kind}", self.wrap_handler(self.list_or_watch)),
            web.get(resource_path, self.wrap_handler(self.get)),
            web.put(resource_path, self.wrap_handler(self.put)),
            web.patch(resource_path, self.wrap_handler(self.patch)),
            web.delete(resource_path, self.wrap_handler(self.delete)),
        ]

    def end_watches(self) -> None:
        """End all watches on shutdown; watchers resume at another instance."""
        self.stopping.set()

    def wrap_handler(self, handler: Handler) -> Handler:
        """Wrap a handler to authorise requests and to send errors as problems."""

        async def answer(request: web.Request) -> web.StreamResponse:
            try:
                request[OPERATOR] = self.authorise(request)
                return await handler(request)
            except web.HTTPRequestEntityTooLarge:
                return problems.response(refusals.TooLargeError())
            except errors.TealcoveError as error:
                return problems.response(error)

        return answer

    async def show_status(self, request: web.Request) -> web.Response:
        """Answer GET /admin/v1/status."""
        revision = self.copy.revision
        in_force = self.status.in_force(revision, self.now())
        return json_response(
            documents.ConfigurationStatus(revision=revision, in_force=in_force)
        )

    async def list_or_watch(self, request: web.Request) -> web.StreamResponse:
        """Answer GET /admin/v1/{kind}."""
        kind = kind_of(request)
        if headers.flag(request, "watch"):
            return await self.watch(request, kind)
        configuration = self.copy.current
        names = configuration.names(kind)
        start = bisect.bisect_right(names, request.query.get("after", ""))
        end = start + headers.limit(request)
        resources = (configuration.get(kind, name) for name in names[start:end])
        page = documents.Page(
            revision=configuration.revision,
            items=tuple(self.document(resource) for resource in resources),
            next=names[end - 1] if end < len(names) else None,
        )
        return json_response(page)

    async def watch(self, request: web.Request, kind: kinds.Kind) -> web.StreamResponse:
        """Stream changes after the given revision, by default the one in force."""
        revision = headers.number(request, "revision", self.copy.revision)
        stream = watch.Watch(
            self.store.log, self.copy, kind, ids.Revision(revision), self.stopping
        )
        return await stream.run(request)

    async def get(self, request: web.Request) -> web.Response:
        """Answer GET /admin/v1/{kind}/{name}."""
        kind, name = kind_of(request), request.match_info["name"]
        resource = self.copy.current.get(kind, name)
        if resource is None:
            raise decision.not_found(kind, name)
        return self.resource_response(resource)

    async def put(self, request: web.Request) -> web.Response:
        """Answer PUT /admin/v1/{kind}/{name}."""
        kind, name = kind_of(request), request.match_info["name"]
        content = await request.read()
        return await self.change(request, documents.read_put(content, kind, name))

    async def patch(self, request: web.Request) -> web.Response:
        """Answer PATCH /admin/v1/{kind}/{name}."""
        if request.content_type not in MERGE_PATCH:
            raise refusals.BadRequestError(
                f"a patch of type {request.content_type} isn't taken",
                f"Send a merge patch as {MERGE_PATCH[0]}.",
            )
        content = await request.read()
        return await self.change(request, documents.read_patch(content))

    async def delete(self, request: web.Request) -> web.Response:
        """Answer DELETE /admin/v1/{kind}/{name}."""
        return await self.change(request, edits.Delete())

    async def change(self, request: web.Request, edit: edits.Edit) -> web.Response:
        """Apply a change and answer with its outcome."""
        change_request = decision.ChangeRequest(
            operator=request[OPERATOR],
            kind=kind_of(request),
            name=request.match_info["name"],
            edit=edit,
            if_match=headers.if_match(request),
            must_be_new=headers.must_be_new(request),
            idempotency_key=headers.idempotency_key(request),
            dry_run=headers.flag(request, "dry_run"),
        )
        outcome = await self.store.change(change_request)
        if outcome.resource is None:
            return json_response(
                documents.Deleted(
                    kind=change_request.kind,
                    name=change_request.name,
                    revision=outcome.revision,
                )
            )
        if change_request.dry_run:
            return json_response(documents.document(outcome.resource, None))
        return self.resource_response(outcome.resource, 201 if outcome.created else 200)

    def document(self, resource: kinds.Resource) -> documents.Document:
        """Return the document of a resource with its current status."""
        resource_status = documents.status_of(resource, self.status, self.now())
        return documents.document(resource, resource_status)

    def resource_response(
        self, resource: kinds.Resource, code: int = 200
    ) -> web.Response:
        """Return a response with a resource and its ETag."""
        response = json_response(self.document(resource), code)
        response.headers["ETag"] = f'"{resource.metadata.revision}"'
        return response


def routes(
    resources: store.ResourceStore,
    local_copy: copy.ConfigurationCopy,
    authorise: Authorise,
    source: status.StatusSource,
) -> list[web.RouteDef]:
    """Return the routes of a resource API without a way to end its watches."""
    return ResourceApi(resources, local_copy, authorise, source).routes()


def kind_of(request: web.Request) -> kinds.Kind:
    """Return the kind in the path; raises NotFoundError."""
    text = request.match_info["kind"]
    try:
        return kinds.Kind(text)
    except ValueError as error:
        known = ", ".join(kind.value for kind in kinds.Kind)
        raise refusals.NotFoundError(
            f"there is no kind {text}", f"Use one of {known}."
        ) from error


def json_response(body: msgspec.Struct, code: int = 200) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        status=code, body=msgspec.json.encode(body), content_type="application/json"
    )
