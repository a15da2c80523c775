"""Serves the addresses for callers and the platform's readiness check."""

from __future__ import annotations

import msgspec
from aiohttp import web

from tealcove import ids
from tealcove.membership import addresses
from tealcove.platform import names

HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class Resolved(msgspec.Struct):
    """Addresses to connect to, and the seconds for which they may be cached."""

    addrs: list[str]
    ttl_s: float


class Directory:
    """HTTP handlers for address lookup and the readiness check."""

    def __init__(self, source: addresses.AddressSource, ttl_seconds: float) -> None:
        self.source = source
        self.ttl_seconds = ttl_seconds

    def routes(self) -> list[web.RouteDef]:
        """Return the handler for callers."""
        return [web.get(names.RESOLVE_PATH, self.resolve)]

    def ready_routes(self) -> list[web.RouteDef]:
        """Return the handler for the platform."""
        return [web.get(names.READY_PATH, self.ready)]

    async def resolve(self, request: web.Request) -> web.Response:
        """Return addresses; 503 if none is known, so that callers ask elsewhere."""
        data_centre = ids.DataCentreId(request.query.get("zone", ""))
        found = self.source.addresses(data_centre, request.remote or "")
        if not found:
            return web.Response(status=HTTP_UNAVAILABLE)
        body = msgspec.json.encode(Resolved(found, self.ttl_seconds))
        return web.Response(body=body, content_type="application/json")

    async def ready(self, request: web.Request) -> web.Response:
        """Return 200 if this instance accepts requests, otherwise 503."""
        ready = self.source.is_ready()
        return web.Response(status=HTTP_OK if ready else HTTP_UNAVAILABLE)
