"""One instance: creates its roles, starts them and shuts them down gracefully."""

from __future__ import annotations

import asyncio
import math
import signal

import logbook
import msgspec
from aiohttp import web
from opentelemetry.sdk.trace import export

from tealcove import (
    clock,
    exporting,
    gauges,
    ids,
    listener,
    logs,
    probes,
    readiness,
    settings,
    stalls,
    tasks,
    tls,
)
from tealcove.backends import http_engine, http_service
from tealcove.callermemory import machine
from tealcove.claims import claimer, writer
from tealcove.dispatch import policy, requester, role, spread
from tealcove.entry import admission_control, http
from tealcove.limits import limit
from tealcove.limits import role as limits_role
from tealcove.membership import heartbeats, members, messages
from tealcove.orders import drains, steward
from tealcove.orders import role as orders_role
from tealcove.peers import endpoint, mesh, security
from tealcove.platform import store, storeadapter
from tealcove.quarantine import role as quarantine_role
from tealcove.resources import copy, kinds
from tealcove.resources import role as configuration
from tealcove.storage import rowlist, rowweights
from tealcove.witness import role as witness_role

LOG = logbook.Logger("daemon")

# Seconds in which the last answers are sent, to requests that were ended since the time
# to finish them was over.
SEND_SECONDS = 0.5


class Instance:
    """Runs all roles of an instance; one process may run several instances."""

    def __init__(
        self,
        found: settings.Settings,
        exporter: export.SpanExporter | None = None,
    ) -> None:
        self.settings = found
        self.incarnation = ids.new_incarnation()
        self.telemetry = exporting.Telemetry(found, exporter)
        self.stalls = stalls.Stalls()
        self.caller_memory = machine.new_budget(found.machine)
        self.engines = http_engine.HttpEngineClient(self.stalls)
        self.services = http_service.HttpServiceClient(self.stalls)
        self.platform: store.StoreClient | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.http_port = found.http.port

    async def start(self) -> None:
        """Start all roles; accepts requests once a configuration is loaded."""
        found = self.settings
        self.stalls.start()
        self.platform = store.StoreClient(
            found.platform.url,
            store.Timeouts(total=found.platform.timeout_seconds),
            tls.for_platform(found),
            self.stalls,
        )
        self.rows = storeadapter.StoreTable(self.platform)
        self.objects = storeadapter.StoreObjects(self.platform)
        self.start_mesh()
        await self.engines.start()
        await self.services.start()
        self.start_roles()
        self.register_metrics()
        await self.start_http()
        self.members.update_own(http_port=self.http_port)
        self.heartbeats.start()
        self.configuration.start(self.heartbeats)
        self.mesh.start_receiving()
        monitor = readiness.Readiness(self.members, self.heartbeats, self.configuration)
        self.tasks.append(tasks.start_loop(monitor.run, "readiness"))

    def start_mesh(self) -> None:
        """Listen for peers."""
        found = self.settings
        listen = endpoint.Endpoint(str(found.peer.host), found.peer.port)
        instance = ids.InstanceId(found.instance)
        curve = found.peer.curve
        secured = None if curve is None else security.Security(curve)
        self.mesh = mesh.Mesh(instance, self.incarnation, listen, secured, self.stalls)
        self.mesh.bind()
        own = messages.Heartbeat(
            instance=instance,
            incarnation=self.incarnation,
            lifecycle=messages.Lifecycle.JOINING,
            data_centre=ids.DataCentreId(found.data_centre),
            host=str(found.http.host),
            http_port=found.http.port,
            peer_host=self.mesh.listen.host,
            peer_port=self.mesh.listen.port,
            revision=ids.Revision(0),
        )
        heartbeat = found.heartbeat
        self.members = members.Members(
            own, heartbeat.suspect_after, heartbeat.forget_after, self.stalls
        )
        self.heartbeats = heartbeats.HeartbeatService(
            self.mesh,
            self.members,
            rowlist.RowInstanceList(self.rows),
            tuple(endpoint.parse(seed) for seed in found.seeds),
            heartbeat.interval,
        )

    def start_roles(self) -> None:
        """Start all roles, each after those that it depends on."""
        self.start_configuration()
        self.start_dispatcher()
        self.start_claims()
        self.start_entry()
        self.stewards = orders_role.Stewards(
            self.mesh,
            self.members,
            self.configuration.copy,
            self.new_steward,
            self.telemetry.meter,
        )
        self.stewards.start()

    def start_configuration(self) -> None:
        """Start the configuration, the quarantine and the limits."""
        self.configuration = configuration.ConfigurationRole(
            self.settings, self.rows, self.objects, self.mesh, self.members
        )
        self.quarantine = quarantine_role.Quarantine(
            self.mesh,
            self.members,
            self.heartbeats,
            self.rows,
            self.settings.quarantine.seconds,
        )
        self.quarantine.start()
        self.limits = limits_role.Limits(
            self.mesh, self.members, self.find_limit, clock.now()
        )
        self.limits.start()

    def start_dispatcher(self) -> None:
        """Start the dispatcher and the requester, which sends it tickets."""
        self.spread = spread.Spread(self.configuration.copy, self.delay_to)
        self.dispatcher = role.Dispatcher(
            self.mesh,
            self.members,
            self.spread.find,
            policy.find(self.settings.dispatch.policy),
            self.engines,
            self.settings.dispatch.load_poll_interval,
            self.quarantine,
            lambda: self.heartbeats.listed,
            source=self.telemetry,
        )
        self.dispatcher.start()
        self.tickets = requester.Requester(
            self.mesh,
            self.members,
            self.settings.dispatch.ticket_timeout,
            self.spread,
        )
        self.tickets.start()
        self.tickets.listeners.append(self.quarantine.record_end)

    def start_entry(self) -> None:
        """Create the entry, which the HTTP listener serves."""
        self.entry = http.Entry(
            self.settings,
            self.configuration.copy,
            self.members,
            self.engines,
            self.services,
            self.tickets,
            self.claims,
            admission_control.AdmissionControl(self.quarantine, self.limits),
            source=self.telemetry,
            witness=self.start_witness(),
            memory=self.caller_memory,
        )
        self.configuration.copy.subscribe(self.apply_configuration)

    def start_claims(self) -> None:
        """Start the writer of claims and the claimer."""
        found = self.settings.claims
        self.claim_writer = writer.Writer(
            self.mesh, self.members, self.rows, found.batch_interval
        )
        self.claim_writer.start()
        self.claims = claimer.Claimer(self.mesh, self.members, self.rows, found.writers)
        self.claims.start()

    def start_witness(self) -> witness_role.Witness | None:
        """Start the witness that keeps records for other entries; None if disabled."""
        timeout = self.settings.dispatch.witness_timeout
        if not timeout:
            return None
        found = witness_role.Witness(self.mesh, self.members, timeout)
        found.start()
        return found

    def register_metrics(self) -> None:
        """Register the metrics of all roles."""
        instruments = gauges.Gauges(self.telemetry.meter)
        instruments.add_mesh(self.mesh)
        instruments.add_restarts()
        instruments.add_platform(self.platform)
        instruments.add_members(self.members)
        instruments.add_configuration(self.configuration.copy)
        instruments.add_dispatcher(self.dispatcher)
        instruments.add_requester(self.tickets)
        instruments.add_claims(self.claim_writer)
        instruments.add_caller_memory(self.caller_memory)

    async def start_http(self) -> None:
        """Listen for callers and operators."""
        limits = self.settings.limits
        allowed = machine.connections(self.settings.machine, limits.connections)
        limits = msgspec.structs.replace(limits, connections=allowed.callers)
        app = web.Application(client_max_size=limits.body_bytes)
        app.add_routes(self.configuration.routes())
        app.add_routes(probes.Probes(self.members, self.telemetry).routes())
        # The entry comes last: it handles every path that no other role serves.
        app.add_routes(self.entry.routes())
        self.listener = listener.Listener(
            app,
            limits,
            memory=self.caller_memory,
            rejected=listener.rejected_connections(limits.connections),
        )
        host = str(self.settings.http.host)
        secured = tls.for_callers(self.settings)
        self.http_port = await self.listener.start(host, self.http_port, secured)

    def new_steward(self, pool: ids.PoolId, held: drains.Drains) -> steward.Steward:
        """Return this instance's steward of a pool."""
        found = self.settings.orders
        return steward.Steward(
            pool,
            self.configuration.copy,
            self.members,
            self.engines,
            self.rows,
            rowweights.RowWeightStore(self.rows),
            held,
            found.lease_seconds,
            found.longest_seconds,
        )

    def find_limit(self, account: ids.AccountId) -> limit.Limit | None:
        """Return an account's limit by the configuration in force, if it has one."""
        current = self.configuration.copy.current
        found = current.get(kinds.Kind.CLIENT_ACCOUNT, account)
        return None if found is None else limit.of_spec(found.spec)

    def delay_to(self, other: ids.DataCentreId) -> float:
        """Return the delay in seconds to a data centre; infinite if unknown."""
        delay = self.settings.delay_to(other)
        return math.inf if delay is None else delay

    def apply_configuration(
        self, previous: copy.Configuration, current: copy.Configuration
    ) -> None:
        """Apply a new revision in all roles and broadcast it to the peers."""
        self.dispatcher.reconfigure()
        self.members.update_own(revision=current.revision)
        self.heartbeats.broadcast()

    async def leave(self) -> None:
        """Shut down gracefully: let requests in progress finish.

        Callers cache the answers of /v1/entry-points, so the instance accepts
        requests until the last answer that names it has expired.
        """
        self.members.update_own(lifecycle=messages.Lifecycle.LEAVING)
        self.heartbeats.broadcast()
        LOG.info("leaving")
        self.listener.lift_send_limit()
        shutdown = self.settings.shutdown
        await asyncio.sleep(shutdown.entry_points_ttl)
        self.members.update_own(lifecycle=messages.Lifecycle.GONE)
        # Watches never end by themselves; watchers go on at another instance.
        self.configuration.api.end_watches()
        await listener.drain(
            self.is_busy, ids.Instant(clock.now() + shutdown.drain_seconds)
        )
        self.entry.end_requests()
        await listener.drain(self.is_busy, ids.Instant(clock.now() + SEND_SECONDS))

    def is_busy(self) -> bool:
        """Return whether a request or an answer is in progress."""
        answering = listener.count_busy((self.listener.runner,))
        return bool(self.entry.in_progress or answering)

    async def stop(self) -> None:
        """End all tasks and close all sockets."""
        await tasks.stop(self.tasks)
        await self.configuration.stop()
        await self.listener.stop()
        await self.stewards.stop()
        await self.heartbeats.stop()
        await self.dispatcher.stop()
        await self.claims.stop()
        await self.claim_writer.stop()
        await self.quarantine.stop()
        await self.limits.stop()
        await self.tickets.stop()
        await self.mesh.stop()
        await self.engines.stop()
        await self.services.stop()
        await self.platform.close()
        self.stalls.stop()
        self.telemetry.shutdown()


def ignore_hang_up() -> None:
    """Go on: the kernel hangs up on a stopped process whose shell has ended."""
    LOG.info("SIGHUP ignored: settings are read at the start only; SIGTERM stops")


async def serve(found: settings.Settings) -> None:
    """Run an instance until SIGTERM or SIGINT, then shut it down gracefully."""
    logs.install(found)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, ignore_hang_up)
    instance = Instance(found)
    await instance.start()
    await stopping.wait()
    await instance.leave()
    await instance.stop()
