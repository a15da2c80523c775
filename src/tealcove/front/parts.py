"""Makes the parts of an instance by its settings."""

from __future__ import annotations

import math

from aiohttp import web

from tealcove import ids, listener
from tealcove.catalog import copies, follower, serverlist
from tealcove.front import settings
from tealcove.ingress import budget
from tealcove.membership import heartbeats, members, messages
from tealcove.peers import endpoint, mesh
from tealcove.platform import names, store, storeadapter
from tealcove.storage import instances, rowlist

# Seconds between two looks at the list of instances: heartbeats tell of new ones,
# and each look is paid for.
LIST_INTERVALS = heartbeats.ListIntervals(first=1.0, longest=60.0)
# Cores at which the classes of processors begin: what the weakest machine of the large
# deployments has.
WEAKEST_CORES = 0.5
# Mbit/s at which the classes of links begin: what the slowest one there has.
SLOWEST_MBPS = 5.0
# Seconds for which the store may hold a question: in small groups, where all ask and
# each question is paid for, and where only a few ask for all.
LONG_WAIT = 25.0
SHORT_WAIT = 5.0
# Seconds for which changes of backend servers gather: where dozens start within
# seconds, each follower would ask once for each of them.
GATHER_SECONDS = 0.25
# Seconds until a connection to the store stands: hundreds of times what it takes, and
# less than the pause between two tries while the store fails.
CONNECT_SECONDS = 0.5


def new_store(found: settings.FrontSettings) -> store.StoreClient:
    """Return the client of the store; it connects at its first call."""
    timeouts = store.Timeouts(CONNECT_SECONDS, found.store.timeout_seconds)
    return store.StoreClient(f"http://{found.store.address}", timeouts)


def new_mesh(found: settings.FrontSettings, incarnation: ids.Incarnation) -> mesh.Mesh:
    """Return a mesh that listens for peers; raises OSError."""
    listen = endpoint.parse(found.listen.peers)
    made = mesh.Mesh(ids.InstanceId(found.instance), incarnation, listen)
    made.bind()
    return made


def strength_of(found: settings.FrontSettings) -> int:
    """Return the class of this instance's processor: 0 from half a core, 1 from one.

    Each class begins at twice as much as the one before, since machines that differ
    by little should share the work that isn't spread over all.
    """
    machine = found.machine
    return math.floor(math.log2(machine.cores * machine.share / WEAKEST_CORES))


def room_of(found: settings.FrontSettings) -> int:
    """Return the class of this instance's link: 0 from 5 Mbit/s, 1 from 10."""
    return math.floor(math.log2(found.machine.link_mbps / SLOWEST_MBPS))


def own_heartbeat(
    found: settings.FrontSettings, transport: mesh.Mesh, incarnation: ids.Incarnation
) -> messages.Heartbeat:
    """Return what an instance that begins tells of itself."""
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
        strength=strength_of(found),
        link_class=room_of(found),
    )


def new_heart(
    found: settings.FrontSettings,
    transport: mesh.Mesh,
    known: members.Members,
    rows: store.StoreClient,
) -> heartbeats.HeartbeatService:
    """Return the heartbeats, which begin when they are started."""
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
    known: members.Members,
    configuration: copies.ConfigurationCopy,
    servers: serverlist.ServersCopy,
) -> tuple[follower.Follower, ...]:
    """Return what follows the store's two tables, once it's started."""

    def wait() -> float:
        return SHORT_WAIT if known.is_large() else LONG_WAIT

    def for_configuration() -> follower.Pace:
        return follower.Pace(wait())

    def for_servers() -> follower.Pace:
        return follower.Pace(wait(), GATHER_SECONDS)

    return (
        follower.Follower(rows, names.OPERATOR_TABLE, configuration, for_configuration),
        follower.Follower(rows, names.SERVERS_TABLE, servers, for_servers),
    )


def allowance_of(found: settings.FrontSettings) -> budget.Allowance:
    """Return the allowance of repeats by the settings."""
    repeats = found.repeats
    return budget.Allowance(repeats.ratio, repeats.slack, repeats.window_seconds)


async def listen(
    found: settings.FrontSettings, routes: list[web.RouteDef]
) -> listener.Listener:
    """Listen for callers; raises OSError."""
    app = web.Application(client_max_size=found.limits.body_bytes)
    app.add_routes(routes)
    listening = listener.Listener(app, found.limits, decompresses=False)
    at = endpoint.parse(found.listen.callers)
    await listening.start(at.host, at.port, None)
    return listening


async def serve(address: str, routes: list[web.RouteDef]) -> web.AppRunner:
    """Listen at another address with some handlers; raises OSError."""
    app = web.Application()
    app.add_routes(routes)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=listener.STOP_SECONDS)
    await runner.setup()
    at = endpoint.parse(address)
    await web.TCPSite(runner, at.host, at.port).start()
    return runner
