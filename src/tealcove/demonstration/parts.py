"""The parts of the demo: platform, engines, plain service and one instance."""

from __future__ import annotations

import asyncio
import contextlib
import secrets

import aiohttp

from tealcove import bearer, client, connection, daemon, plan, resourcefiles, settings
from tealcove.demonstration import mix
from tealcove.resources import kinds
from tealcove.standins import engine, platform, service

HOST = "127.0.0.1"
DATA_CENTRE = "here"
MODEL = "writer"
ENGINE_POOL = "engines"
SERVICE_POOL = "office"
LOOKUP_PATH = "/office/prices"
QUOTE_PATH = "/office/quotes"
SERVICE_SLOTS = 4
SERVICE_SECONDS = 0.05
# Each step produces several tokens: an event per token would need more CPU time than
# one process has for callers, instance and engines together.
TICK_SECONDS = 0.04
KEY_BYTES = 16
# Timeout of the start of the instance; far longer than any normal start.
START_SECONDS = 15.0
POLL_SECONDS = 0.02
OK = 200


class Parts:
    """All parts of the demo; use it as an async context manager."""

    def __init__(self, seed: int) -> None:
        self.platform = platform.PlatformStandin()
        self.engines = [engine_standin(found, seed) for found in mix.ENGINES]
        self.service = service.ServiceStandin(
            service.ServiceSettings(
                name=SERVICE_POOL,
                slots=SERVICE_SLOTS,
                seconds_per_call=SERVICE_SECONDS,
            )
        )
        self.instance: daemon.Instance | None = None
        self.operator_key = secrets.token_hex(KEY_BYTES)
        # Bearer keys by client account.
        self.keys = {one.name: secrets.token_hex(KEY_BYTES) for one in mix.ACCOUNTS}
        self.exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Parts:
        """Start all parts; the instance is started last and stopped first."""
        async with contextlib.AsyncExitStack() as started:
            for standin in (self.platform, *self.engines, self.service):
                await standin.start()
                started.push_async_callback(standin.stop)
            self.instance = daemon.Instance(instance_settings(self))
            await self.instance.start()
            started.push_async_callback(self.instance.stop)
            self.exit_stack = started.pop_all()
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop all parts."""
        await self.exit_stack.aclose()

    @property
    def url(self) -> str:
        """The base URL of the instance for callers and operators."""
        return f"http://{HOST}:{self.instance.http_port}"

    async def declare(self) -> int:
        """Declare all resources as an operator and return their revision.

        Returns once the revision is in force and the instance serves. Raises
        connection.TimedOutError, or the error of the resource API.
        """
        async with client.Client([self.url], self.operator_key) as operator:
            revision = 0
            for declared in plan.by_dependency(self.resources()):
                written = await operator.put(declared, None)
                revision = written.metadata.revision
            waiting = self.wait_until_served(operator, revision)
            await connection.within(START_SECONDS, waiting, "The start of the demo")
        return revision

    async def wait_until_served(self, operator: client.Client, revision: int) -> None:
        """Wait until a revision is in force and requests are accepted."""
        async for _ in operator.in_force(revision):
            pass
        async with aiohttp.ClientSession() as session:
            while True:
                async with session.get(f"{self.url}/readyz") as response:
                    if response.status == OK:
                        return
                await asyncio.sleep(POLL_SECONDS)

    def resources(self) -> list[resourcefiles.Declared]:
        """Return the resources that the operator declares."""
        found = [
            declared(kinds.Kind.SERVICE_TIER, tier, kinds.ServiceTierSpec(rank=rank))
            for rank, tier in enumerate(mix.TIERS)
        ]
        for account in mix.ACCOUNTS:
            spec = kinds.ClientAccountSpec(
                tier=account.tier,
                key_hashes=(bearer.hash_key(self.keys[account.name]),),
            )
            found.append(declared(kinds.Kind.CLIENT_ACCOUNT, account.name, spec))
        found.append(
            declared(kinds.Kind.MODEL, MODEL, kinds.ModelSpec(version="1")),
        )
        engines = kinds.EnginePoolSpec(servers=self.engine_specs(), models=(MODEL,))
        found.append(declared(kinds.Kind.ENGINE_POOL, ENGINE_POOL, engines))
        office = kinds.ServicePoolSpec(
            servers=(server_spec(self.service, SERVICE_SLOTS),)
        )
        found.append(declared(kinds.Kind.SERVICE_POOL, SERVICE_POOL, office))
        return found + rules()

    def engine_specs(self) -> tuple[kinds.BackendServerSpec, ...]:
        """Return the specs of the engines."""
        return tuple(
            server_spec(standin, found.slots, found.generation)
            for standin, found in zip(self.engines, mix.ENGINES, strict=True)
        )


def engine_standin(found: mix.Engine, seed: int) -> engine.EngineStandin:
    """Create an engine stand-in, which isn't started yet."""
    return engine.EngineStandin(
        engine.EngineSettings(
            name=found.name,
            generation=found.generation,
            slots=found.slots,
            prefill_tokens_per_second=mix.PREFILL_TOKENS_PER_SECOND * found.speed,
            decode_seconds_per_token=mix.DECODE_SECONDS_PER_TOKEN / found.speed,
            batch_slowdown=mix.BATCH_SLOWDOWN,
            tick_seconds=TICK_SECONDS,
            models={MODEL: "1"},
            seed=seed,
        )
    )


def instance_settings(parts: Parts) -> settings.Settings:
    """Return the settings of the instance, with any free ports."""
    operator = settings.Operator(
        name="demo", key_hash=bearer.hash_key(parts.operator_key)
    )
    return settings.Settings(
        instance="demo",
        data_centre=DATA_CENTRE,
        http=settings.Http(host=HOST, port=0),
        peer=settings.Peer(host=HOST, port=0),
        platform=settings.Platform(url=parts.platform.url),
        operators=(operator,),
        configuration=settings.Configuration(poll_interval=0.1),
        log=settings.Log(level=settings.Level.WARNING),
    )


def server_spec(
    standin: engine.EngineStandin | service.ServiceStandin,
    slots: int,
    generation: str = "",
) -> kinds.BackendServerSpec:
    """Return the spec of a listening stand-in."""
    return kinds.BackendServerSpec(
        name=standin.name,
        host=HOST,
        port=standin.port,
        data_centre=DATA_CENTRE,
        slots=slots,
        generation=generation,
    )


def rules() -> list[resourcefiles.Declared]:
    """Return the routing rules; quotes are non-idempotent."""
    specs = {
        "writing": kinds.RoutingRuleSpec(pool=ENGINE_POOL, path_prefix="/v1/"),
        "prices": kinds.RoutingRuleSpec(pool=SERVICE_POOL, path_prefix=LOOKUP_PATH),
        "quotes": kinds.RoutingRuleSpec(
            pool=SERVICE_POOL, path_prefix=QUOTE_PATH, idempotent=False
        ),
    }
    return [
        declared(kinds.Kind.ROUTING_RULE, name, spec) for name, spec in specs.items()
    ]


def declared(kind: kinds.Kind, name: str, spec: kinds.Spec) -> resourcefiles.Declared:
    """Return a resource as a file would declare it."""
    return resourcefiles.Declared(kind=kind, name=name, spec=spec, path="demo")
