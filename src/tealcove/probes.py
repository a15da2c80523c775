"""HTTP handlers for health and readiness probes and for metrics."""

from __future__ import annotations

import abc

from aiohttp import web

from tealcove.membership import members, messages

READY = 200
NOT_READY = 503


class MetricsExporter(abc.ABC):
    """Interface for exposing metrics."""

    @abc.abstractmethod
    def metrics_text(self) -> bytes:
        """Return all metrics in the Prometheus text format, for /metrics."""


class Probes:
    """Handlers that need no key and reveal nothing about callers."""

    def __init__(self, known: members.Members, exporter: MetricsExporter) -> None:
        self.members = known
        self.exporter = exporter

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the handlers."""
        return [
            web.get("/healthz", self.healthz),
            web.get("/readyz", self.readyz),
            web.get("/metrics", self.metrics),
        ]

    async def healthz(self, request: web.Request) -> web.Response:
        """Answer that the process runs."""
        return web.Response(text="ok\n")

    async def readyz(self, request: web.Request) -> web.Response:
        """Answer whether the instance accepts requests."""
        lifecycle = self.members.own.lifecycle
        ready = lifecycle is messages.Lifecycle.SERVING
        status = READY if ready else NOT_READY
        return web.Response(status=status, text=f"{lifecycle.value}\n")

    async def metrics(self, request: web.Request) -> web.Response:
        """Answer with all metrics in the Prometheus text format."""
        return web.Response(body=self.exporter.metrics_text())
