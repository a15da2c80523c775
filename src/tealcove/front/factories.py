"""Create the components of an instance from its settings."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec
from aiohttp import web

from tealcove import ids, inbound, listener, stalls
from tealcove.callermemory import budget as caller_budget
from tealcove.callermemory import machine
from tealcove.catalog import copies, declared, follower, serverlist
from tealcove.dispatch import policy, scheduler
from tealcove.front import settings
from tealcove.ingress import budget
from tealcove.instances import capacity, measurement
from tealcove.membership import heartbeats, members, messages
from tealcove.peers import endpoint, mesh
from tealcove.platform import names, store, storeadapter
from tealcove.storage import instances, rowlist
from tealcove.streamcopies import copying

# Seconds between reads of the store's list of instances. Each read is charged, and
# heartbeats announce new instances as well.
LIST_INTERVALS = heartbeats.ListIntervals(first=1.0, longest=60.0)
# Cores of processor class 0: those of the weakest machine in the large deployments.
WEAKEST_CORES = 0.5
# Mbit/s of link class 0: those of the slowest link in the large deployments.
SLOWEST_MBPS = 5.0
# Seconds for which the store may hold a long poll. The store never answers polls that
# it receives while it is silent, and one change makes all instances poll at the same
# moment: until they give up, none of them learns of any change. Changes must be in
# force 5 s after an outage at the latest.
POLL_SECONDS = 2.0
# Seconds for which changes of backend servers are collected: when dozens start within
# seconds, each follower would otherwise make one call for each of them.
GATHER_SECONDS = 0.25
BYTES_IN_MB = 1_000_000
# Timeout in seconds for connecting to the store: hundreds of times the usual duration,
# and less than the pause between two attempts while the store fails.
CONNECT_SECONDS = 0.5
# Headers, and their bytes, that are added to a caller's before its request is passed
# on.
RELAY_HEADERS = 8
RELAY_HEADER_BYTES = 4096


def scheduler_factory(
    found: settings.FrontSettings,
) -> Callable[[], scheduler.Scheduler]:
    """Return the function that creates the scheduler of a cell."""
    new_scheduler = policy.find(found.dispatch.policy)
    copies = new_copies(found)

    def create() -> scheduler.Scheduler:
        created = new_scheduler()
        if found.server_load.enabled:
            created.use_server_load(found.server_load.only_shared)
        created.use_copies(copies)
        return created

    return create


def new_copies(found: settings.FrontSettings) -> copying.Copies:
    """Return which streams this instance's dispatcher has copied."""
    if not found.stream_copies.enabled:
        return copying.NoCopies()
    return copying.BudgetedCopies(found.stream_copies.bytes_per_second)


def new_store(
    found: settings.FrontSettings, own_stalls: stalls.Stalls
) -> store.StoreClient:
    """Return a client of the store; it connects on its first call."""
    timeouts = store.Timeouts(CONNECT_SECONDS, found.store.timeout_seconds)
    url = f"http://{found.store.address}"
    return store.StoreClient(url, timeouts, own_stalls=own_stalls)


def new_mesh(
    found: settings.FrontSettings,
    incarnation: ids.Incarnation,
    own_stalls: stalls.Stalls,
) -> mesh.Mesh:
    """Return a mesh that listens for peers; raises OSError."""
    listen = endpoint.parse(found.listen.peers)
    name = ids.InstanceId(found.instance)
    transport = mesh.Mesh(name, incarnation, listen, own_stalls=own_stalls)
    transport.bind()
    return transport


def processor_class_of(found: settings.FrontSettings) -> int:
    """Return the class of this instance's processor: 0 from half a core, 1 from one.

    Each class starts at twice the cores of the one before, so that machines that
    differ little share the work that isn't spread over all instances.
    """
    machine = found.machine
    return math.floor(math.log2(machine.cores * machine.share / WEAKEST_CORES))


def link_class_of(found: settings.FrontSettings) -> int:
    """Return the class of this instance's link: 0 from 5 Mbit/s, 1 from 10."""
    return math.floor(math.log2(found.machine.link_mbps / SLOWEST_MBPS))


def capacity_of(found: settings.FrontSettings) -> int:
    """Return the capacity that heartbeats state; 0 if it isn't used."""
    machine = found.machine
    if not found.instance_load.enabled:
        return 0
    return capacity.of_machine(
        machine.cores * machine.share / WEAKEST_CORES, machine.link_mbps / SLOWEST_MBPS
    )


def machine_limits(found: settings.FrontSettings) -> measurement.Limits:
    """Return what the load of this instance is compared with."""
    machine = found.machine
    return measurement.Limits(
        link_bytes_per_second=machine.link_bytes_per_second,
        memory_bytes=machine.memory_mb * BYTES_IN_MB,
        descriptors=machine.descriptors,
    )


def initial_heartbeat(
    found: settings.FrontSettings, transport: mesh.Mesh, incarnation: ids.Incarnation
) -> messages.Heartbeat:
    """Return the heartbeat of an instance that is starting."""
    at = endpoint.parse(found.listen.callers)
    return messages.Heartbeat(
        instance=ids.InstanceId(found.instance),
        incarnation=incarnation,
        lifecycle=messages.Lifecycle.JOINING,
        data_centre=ids.DataCentreId(found.data_centre),
        host=at.host,
        http_port=at.port,
        peer_host=transport.listen.host,
        peer_port=transport.listen.port,
        revision=ids.Revision(0),
        strength=processor_class_of(found),
        link_class=link_class_of(found),
        relay_port=found.listen.relay_port,
        capacity=capacity_of(found),
    )


def new_heartbeat_service(
    found: settings.FrontSettings,
    transport: mesh.Mesh,
    known: members.Members,
    rows: store.StoreClient,
) -> heartbeats.HeartbeatService:
    """Return the heartbeat service, not yet started."""
    own = known.own
    listed = instances.ListedInstance(
        name=own.instance,
        kind=instances.ListedKind.INSTANCE,
        state=instances.ListedState.LIVE,
        host=own.peer_host,
        http_port=own.http_port,
        peer_port=own.peer_port,
        data_centre=own.data_centre,
    )
    return heartbeats.HeartbeatService(
        transport,
        known,
        rowlist.RowInstanceList(storeadapter.StoreTable(rows), listed),
        tuple(endpoint.parse(seed) for seed in found.seeds),
        found.heartbeat.interval,
        LIST_INTERVALS,
    )


def new_followers(
    rows: store.StoreClient,
    configuration: copies.ConfigurationCopy,
    servers: serverlist.ServersCopy,
) -> tuple[follower.Follower, ...]:
    """Return the followers of the store's two tables, not yet started."""
    for_configuration = follower.Pace(POLL_SECONDS)
    for_servers = follower.Pace(POLL_SECONDS, GATHER_SECONDS)
    return (
        follower.Follower(rows, names.OPERATOR_TABLE, configuration, for_configuration),
        follower.Follower(rows, names.SERVERS_TABLE, servers, for_servers),
    )


def retry_allowance(found: settings.FrontSettings) -> budget.Allowance:
    """Return the retry allowance from the settings."""
    repeats = found.repeats
    return budget.Allowance(repeats.ratio, repeats.slack, repeats.window_seconds)


class Listening:
    """Creates the listeners of one instance."""

    def __init__(
        self,
        found: settings.FrontSettings,
        memory: caller_budget.Budget,
        read_declared: Callable[[], declared.Bounds],
    ) -> None:
        self.settings = found
        self.memory = memory
        # Returns what the operator allows now.
        self.read_declared = read_declared
        self.connections = machine.connections(found.machine, found.limits.connections)

    async def for_callers(self, routes: list[web.RouteDef]) -> listener.Listener:
        """Listen for callers; raises OSError."""
        at = endpoint.parse(self.settings.listen.callers)
        return await self.listen(at, self.connections.callers, routes)

    async def for_lookups(self, routes: list[web.RouteDef]) -> listener.Listener:
        """Listen for callers that ask for addresses; raises OSError."""
        at = endpoint.parse(self.settings.listen.directory)
        return await self.listen(at, self.connections.others, routes)

    async def for_relays(self, routes: list[web.RouteDef]) -> listener.Listener:
        """Listen for requests of other instances; raises OSError."""
        listen = self.settings.listen
        at = endpoint.Endpoint(endpoint.parse(listen.peers).host, listen.relay_port)
        return await self.listen(
            at, self.connections.others, routes, RELAY_HEADERS, RELAY_HEADER_BYTES
        )

    async def for_probes(
        self, address: str, routes: list[web.RouteDef]
    ) -> listener.Listener:
        """Listen for the platform or for operators; raises OSError."""
        at = endpoint.parse(address)
        # What callers hold doesn't concern them.
        memory = caller_budget.Budget()
        return await self.listen(at, self.connections.probes, routes, memory=memory)

    async def listen(
        self,
        at: endpoint.Endpoint,
        connections: int,
        routes: list[web.RouteDef],
        more_headers: int = 0,
        more_header_bytes: int = 0,
        memory: caller_budget.Budget | None = None,
    ) -> listener.Listener:
        """Listen for requests that are forwarded unchanged; raises OSError."""
        app = web.Application()
        app.add_routes(routes)
        listening = listener.Listener(
            app,
            msgspec.structs.replace(self.settings.limits, connections=connections),
            decompresses=False,
            max_headers=listener.MAX_HEADERS + more_headers,
            memory=memory or self.memory,
            rejected=listener.rejected_connections(connections),
            read_bounds=lambda: self.bounds(more_header_bytes),
        )
        await listening.start(at.host, at.port, None)
        return listening

    def bounds(self, more_header_bytes: int = 0) -> inbound.Bounds:
        """Return what callers may send: as the settings say, or the operator."""
        own, found = self.settings.limits, self.read_declared()
        header_bytes = own.header_bytes or found.header_bytes
        return inbound.Bounds(
            header_bytes=header_bytes + more_header_bytes,
            body_bytes=own.body_bytes or found.body_bytes,
            header_seconds=found.header_seconds,
            unread_seconds=min(own.idle_seconds, found.idle_seconds),
        )
