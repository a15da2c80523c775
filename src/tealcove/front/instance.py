"""One instance on the users' platform: its roles put together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook
from aiohttp import web

from tealcove import (
    clock,
    errors,
    ids,
    listener,
    probes,
    tasks,
)
from tealcove.catalog import copies, following, pools, serverlist, sharing
from tealcove.dispatch import policy, requester, role, spread
from tealcove.front import figures, parts, places, settings
from tealcove.ingress import budget, exchange, http, tickets
from tealcove.limits import central, limit
from tealcove.membership import members, messages
from tealcove.peers import endpoint
from tealcove.platform import (
    backendlink,
    callers,
    directory,
    documents,
    names,
    rollouts,
    storeadapter,
)
from tealcove.quarantine import role as quarantine_role
from tealcove.rollout import controller

log = logbook.Logger("front")

# One cell for each service: up to this many backend servers have one queue, so
# that the order among callers is exact. A ticket costs its dispatcher some 0.1 ms.
CELL_SERVERS = 128
# A content that has crashed so many backend servers isn't run for a time. Engines
# crash for reasons of their own as well, with all that runs on them.
CRASHES_TO_QUARANTINE = 3
# Seconds for which a new dispatcher waits for word of what runs: one heartbeat.
GATHER_SECONDS = 0.25
# Seconds between two looks at lapsed servers and at readiness.
LOOK_INTERVAL = 0.1
# Times the directory's answers' life for which some callers keep them.
LONGEST_KEPT = 3.0
# Seconds before SIGKILL at which what still runs is broken off: its callers come
# back elsewhere while their time lasts.
END_MARGIN = 0.4


class Instance:
    """All that one process does."""

    def __init__(self, found: settings.FrontSettings) -> None:
        self.settings = found
        self.name = ids.InstanceId(found.instance)
        self.incarnation = ids.new_incarnation()
        self.figures = figures.Figures()
        self.tasks: list[asyncio.Task[None]] = []
        self.listeners: list[listener.Listener] = []
        self.runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Start all roles; accepts requests once a configuration is known."""
        self.start_mesh()
        self.start_catalog()
        self.start_dispatcher()
        await self.start_ingress()
        await self.start_directory()
        await self.start_metrics()
        self.heart.start()
        self.mesh.start_receiving()
        self.follow()
        log.info(
            "started: incarnation {}, callers at {}, peers at {}, store at {}",
            self.incarnation,
            self.settings.listen.callers,
            self.settings.listen.peers,
            self.settings.store.address,
        )

    def start_mesh(self) -> None:
        """Listen for peers."""
        self.store = parts.new_store(self.settings)
        self.mesh = parts.new_mesh(self.settings, self.incarnation)
        own = parts.own_heartbeat(self.settings, self.mesh, self.incarnation)
        beat = self.settings.heartbeat
        self.members = members.Members(own, beat.suspect_after, beat.forget_after)
        self.heart = parts.new_heart(self.settings, self.mesh, self.members, self.store)

    def start_catalog(self) -> None:
        """Keep copies of what is declared."""
        self.configuration = copies.ConfigurationCopy(
            names.CONFIGURATION_KEY, documents.decode_configuration
        )
        # At once: until an instance says that it serves, it ranks nobody and would
        # refuse the first requests after a restart of all.
        self.configuration.listeners.append(self.check_readiness)
        self.servers = serverlist.ServersCopy(documents.decode_server)
        self.pools = pools.Pools(self.servers)
        self.servers.listeners.append(self.take_servers)
        followers = parts.new_followers(
            self.store, self.members, self.configuration, self.servers
        )
        self.following = following.Following(self.members, followers)
        self.sharing = sharing.Sharing(
            self.mesh,
            self.members,
            self.heart,
            (self.configuration, self.servers),
            self.following,
            self.settings.machine.link_bytes_per_second,
        )
        self.sharing.start()

    def start_dispatcher(self) -> None:
        """Start the dispatcher, the side that asks, and what decides by account."""
        found = self.settings
        self.quarantine = quarantine_role.Quarantine(
            self.mesh,
            self.members,
            self.heart,
            None,
            found.quarantine.seconds,
            CRASHES_TO_QUARANTINE,
        )
        self.quarantine.start()
        self.limits = central.CentralLimits(
            self.mesh,
            self.members,
            self.find_limit,
            found.account_limits.slack,
            clock.now(),
            lambda: len(self.heart.listed_endpoints()),
        )
        self.limits.start()
        self.spread = spread.Spread(self.pools, lambda other: 0.0, CELL_SERVERS)
        self.rollouts = controller.Controller(
            rollouts.StoreOrders(storeadapter.StoreTable(self.store)),
            lambda: self.dispatcher.views_by_pool(),
        )
        self.dispatcher = role.Dispatcher(
            self.mesh,
            self.members,
            self.spread.find,
            policy.find(found.dispatch.policy),
            None,
            0.0,
            self.quarantine,
            source=self.figures,
            gather_seconds=GATHER_SECONDS,
            exposures=self.rollouts if found.rollouts.enabled else None,
        )
        if found.rollouts.enabled:
            self.rollouts.start()
        self.dispatcher.start()
        self.tickets = requester.Requester(
            self.mesh, self.members, found.dispatch.ticket_timeout, self.spread
        )
        self.tickets.start()
        self.tickets.listeners.append(self.quarantine.record_end)
        self.figures.watch(
            "tealcove.grants.declined",
            "Grants given back since their backend servers have left.",
            lambda: self.tickets.declined,
        )

    async def start_ingress(self) -> None:
        """Listen for callers."""
        found = self.settings
        self.link = backendlink.HttpBackendLink()
        await self.link.start()
        self.ingress = http.Ingress(
            exchange.Services(
                link=self.link,
                tickets=self.tickets,
                budget=budget.RetryBudget(
                    parts.allowance_of(found), self.count_instances
                ),
                entry=tickets.EntryInstance(
                    self.name, ids.DataCentreId(found.data_centre)
                ),
            ),
            self.configuration,
            self.spread,
            self.limits,
            self.quarantine,
            callers.CallerCodec(),
            self.figures,
        )
        self.listeners.append(await parts.listen(found, self.ingress.routes()))

    async def start_directory(self) -> None:
        """Listen for those who ask where to connect, and whether this is ready."""
        found = self.settings
        self.directory = directory.Directory(
            places.MemberPlaces(self.members), found.leaving.directory_ttl_seconds
        )
        await self.serve(found.listen.directory, self.directory.routes())
        await self.serve(found.listen.ready, self.directory.ready_routes())

    async def start_metrics(self) -> None:
        """Show the metrics; an instance works on without."""
        port = self.settings.listen.metrics_port
        if port == 0:
            return
        host = endpoint.parse(self.settings.listen.callers).host
        shown = probes.Probes(self.members, self.figures)
        try:
            await self.serve(f"{host}:{port}", shown.routes())
        except OSError as error:
            log.warning("no metrics at port {}: {}", port, error)

    async def serve(self, address: str, routes: list[web.RouteDef]) -> None:
        """Listen at an address with some handlers."""
        self.runners.append(await parts.serve(address, routes))

    def follow(self) -> None:
        """Begin to follow the store, and to look at what only time changes."""
        self.following.start()
        self.tasks.append(tasks.start(self.look(), "readiness"))

    async def look(self) -> None:
        """Look at readiness and lapsed servers until cancelled."""
        while True:
            now = clock.now()
            self.servers.expire_lapses(now)
            self.check_readiness()
            await asyncio.sleep(LOOK_INTERVAL)

    def check_readiness(self) -> None:
        """Take requests as soon as a configuration is known."""
        is_joining = self.members.own.lifecycle is messages.Lifecycle.JOINING
        if is_joining and self.configuration.current is not None:
            log.info("ready at configuration {}", self.configuration.revision)
            self.members.update_own(lifecycle=messages.Lifecycle.SERVING)
            self.heart.broadcast()

    def take_servers(self) -> None:
        """Put a new list of backend servers in force."""
        self.pools.refresh()
        self.dispatcher.reconfigure()

    def reload(self, found: settings.FrontSettings) -> None:
        """Put in force what may change while running, and say what may not."""
        before = self.settings
        fixed = ("instance", "data_centre", "listen", "store")
        changed = [n for n in fixed if getattr(before, n) != getattr(found, n)]
        if changed:
            log.warning("{} change at the next start only", ", ".join(changed))
        self.settings = found
        self.heart.seeds = tuple(endpoint.parse(seed) for seed in found.seeds)
        for seed in self.heart.seeds:
            self.heart.add_peer(seed)
        self.ingress.services.budget.allowance = parts.allowance_of(found)
        self.limits.slack = found.account_limits.slack
        self.members.update_own(
            strength=parts.strength_of(found), link_class=parts.room_of(found)
        )
        self.directory.ttl_seconds = found.leaving.directory_ttl_seconds
        log.info("settings read again: {}", "changed" if before != found else "alike")

    def show_dropped_lines(self, count: Callable[[], int]) -> None:
        """Add the log lines that were not written to the metrics."""
        self.figures.watch(
            "tealcove.log.dropped_lines",
            "Log lines beyond the bound, which were not written.",
            count,
        )

    def find_limit(self, account: ids.AccountId) -> limit.Limit | None:
        """Return an account's limit by the configuration in force, if it has one."""
        current = self.configuration.current
        found = None if current is None else current.accounts.get(account)
        return None if found is None else found.limit

    def count_instances(self) -> int:
        """Return how many instances serve, this one included."""
        return len(self.members.serving(clock.now()))

    async def leave(self) -> None:
        """Leave gracefully: no request in progress is cut off if it can end.

        Callers keep an answer of the directory for a while, so the instance goes
        on serving until those have run out. From then on it takes nothing new, so
        that what it has taken can end before it's killed.
        """
        began = clock.now()
        log.info("leaves: {} requests in progress", len(self.ingress.in_progress))
        self.members.update_own(lifecycle=messages.Lifecycle.LEAVING)
        self.heart.broadcast()
        self.ingress.is_leaving = True
        leaving = self.settings.leaving
        await asyncio.sleep(LONGEST_KEPT * leaving.directory_ttl_seconds)
        self.ingress.is_closed = True
        end = began + leaving.grace_seconds - END_MARGIN
        while self.ingress.in_progress and clock.now() < end:
            await asyncio.wait(set(self.ingress.in_progress), timeout=end - clock.now())
        log.info("stops: {} requests broken off", len(self.ingress.in_progress))

    async def stop(self) -> None:
        """End all tasks and close all sockets."""
        await tasks.stop(self.tasks)
        for listening in self.listeners:
            await listening.stop()
        for runner in self.runners:
            await runner.cleanup()
        await self.following.stop()
        await self.sharing.stop()
        await self.heart.stop()
        await self.rollouts.stop()
        await self.dispatcher.stop()
        await self.quarantine.stop()
        await self.tickets.stop()
        await self.mesh.stop()
        await self.link.stop()
        await self.store.close()


async def start(found: settings.FrontSettings) -> Instance:
    """Return a started instance; raises TealcoveError if it can't listen."""
    instance = Instance(found)
    try:
        await instance.start()
    except OSError as error:
        raise errors.TealcoveError(
            f"can't listen: {error}", "See the addresses under `listen`."
        ) from error
    return instance
