"""Two instances and their stand-ins in the test process."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from aiohttp import web
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from tealcove import bearer, daemon, settings
from tealcove.membership import ranking
from tealcove.platform import store as store_client
from tealcove.platform import storeadapter
from tealcove.resources import copy, decision, edits, kinds, store
from tealcove.standins import engine, platform, service
from tests import callers, deployment

HOST = "127.0.0.1"
CELL = "engines/0"


class RecordingService(service.ServiceStandin):
    """A plain service that records the trace headers it received."""

    def __init__(self) -> None:
        super().__init__(service.ServiceSettings(name="s"))
        self.traces: list[str] = []

    async def answer(self, request: web.Request) -> web.Response:
        self.traces.append(request.headers.get("traceparent", ""))
        return await super().answer(request)


class Pair:
    """The deployment; `entry` is the instance without the engines' cell."""

    def __init__(self) -> None:
        self.platform = platform.PlatformStandin()
        self.engine = engine.EngineStandin(
            engine.EngineSettings(name="e", models={"m": "1"})
        )
        self.service = RecordingService()
        self.instances: dict[str, daemon.Instance] = {}
        self.exporters: dict[str, in_memory_span_exporter.InMemorySpanExporter] = {}
        self.session: aiohttp.ClientSession | None = None

    @property
    def holder(self) -> daemon.Instance:
        return self.instances[ranking.rank(CELL, list(self.instances))[0]]

    @property
    def entry(self) -> daemon.Instance:
        return self.instances[ranking.rank(CELL, list(self.instances))[1]]

    @staticmethod
    def url(instance: daemon.Instance) -> str:
        return f"http://{HOST}:{instance.http_port}"

    async def add_instance(self, name: str, **changes: object) -> daemon.Instance:
        """Start an instance with the earlier ones as seeds."""
        seeds = tuple(str(one.mesh.listen) for one in self.instances.values())
        own = settings.Settings(
            instance=name,
            data_centre="d",
            http=settings.Http(host=HOST, port=0),
            peer=settings.Peer(host=HOST, port=0),
            platform=settings.Platform(url=self.platform.url),
            seeds=seeds,
            configuration=settings.Configuration(poll_interval=0.05),
        )
        exporter = in_memory_span_exporter.InMemorySpanExporter()
        instance = daemon.Instance(msgspec.structs.replace(own, **changes), exporter)
        await instance.start()
        self.instances[name] = instance
        self.exporters[name] = exporter
        return instance

    async def declare(self) -> None:
        """Declare a tier, an account, a model, both pools and their rules."""
        engine_spec, service_spec = (
            kinds.BackendServerSpec(
                name=one.name, host=HOST, port=one.port, data_centre="d"
            )
            for one in (self.engine, self.service)
        )
        key_hash = bearer.hash_key(f"{callers.CALLER_KEY}-high")
        specs = [
            (kinds.Kind.SERVICE_TIER, "high", kinds.ServiceTierSpec(rank=0)),
            (
                kinds.Kind.CLIENT_ACCOUNT,
                "a",
                kinds.ClientAccountSpec(tier="high", key_hashes=(key_hash,)),
            ),
            (kinds.Kind.MODEL, "m", kinds.ModelSpec(version="1")),
            (
                kinds.Kind.ENGINE_POOL,
                "engines",
                kinds.EnginePoolSpec(servers=(engine_spec,), models=("m",)),
            ),
            (
                kinds.Kind.SERVICE_POOL,
                "prices",
                kinds.ServicePoolSpec(servers=(service_spec,)),
            ),
            (
                kinds.Kind.ROUTING_RULE,
                "engines",
                kinds.RoutingRuleSpec(pool="engines", path_prefix="/v1/"),
            ),
            (
                kinds.Kind.ROUTING_RULE,
                "prices",
                kinds.RoutingRuleSpec(pool="prices", path_prefix="/prices"),
            ),
        ]
        own = store_client.StoreClient(self.platform.url)
        try:
            resources = store.ResourceStore(
                storeadapter.StoreTable(own),
                storeadapter.StoreObjects(own),
                copy.ConfigurationCopy(),
            )
            for kind, name, spec in specs:
                edit = edits.Put(spec)
                await resources.change(
                    decision.ChangeRequest(
                        operator="ops", kind=kind, name=name, edit=edit
                    )
                )
        finally:
            await own.close()

    async def until_serving(self) -> None:
        """Wait until each instance lists all of them as entry points."""

        async def all_known() -> bool:
            for one in self.instances.values():
                url = f"{self.url(one)}/v1/entry-points"
                async with self.session.get(url) as response:
                    if response.status != 200:
                        return False
                    found = await response.json()
                if len(found["entry_points"]) < len(self.instances):
                    return False
            return True

        await deployment.until(all_known)


@contextlib.asynccontextmanager
async def pair(**changes: object) -> AsyncIterator[Pair]:
    """Start all parts, and stop them in reverse order."""
    async with contextlib.AsyncExitStack() as ending:
        running = Pair()
        for part in (running.platform, running.engine, running.service):
            await part.start()
            ending.push_async_callback(part.stop)
        await running.declare()
        for name in ("i1", "i2"):
            instance = await running.add_instance(name, **changes)
            ending.push_async_callback(instance.stop)
        running.session = aiohttp.ClientSession()
        ending.push_async_callback(running.session.close)
        await running.until_serving()
        yield running
