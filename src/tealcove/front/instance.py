"""One instance on the users' platform: creates, starts and stops its roles."""

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
    stalls,
    tasks,
)
from tealcove.accounts import handlers as account_handlers
from tealcove.accounts import role as account_weights
from tealcove.accounts import tallies
from tealcove.admission import counts, entrypromises, localrefusals
from tealcove.admission import policy as admission_policy
from tealcove.callermemory import machine
from tealcove.catalog import copies, declared, following, pools, serverlist, sharing
from tealcove.dispatch import (
    accountreports,
    accountshares,
    budgets,
    cells,
    crossing,
    crossingreports,
    requester,
    role,
    spread,
)
from tealcove.front import (
    addresses,
    factories,
    loadmetrics,
    metrics,
    requestmetrics,
    settings,
)
from tealcove.ingress import budget, exchange, hanging, http, streamcopy, tickets
from tealcove.instances import figures, unread
from tealcove.instances import role as instance_load
from tealcove.limits import central, limit
from tealcove.membership import members, messages
from tealcove.origins import keeping
from tealcove.origins import role as origins
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
from tealcove.quarantine import handlers
from tealcove.quarantine import role as quarantine_role
from tealcove.relay import helpers
from tealcove.relay import link as relaying
from tealcove.relay import server as relay_server
from tealcove.rollout import controller
from tealcove.storage import revisions

log = logbook.Logger("front")

# Backend servers of one cell. With up to this many, a service has a single queue, so
# that the order among callers is exact. A ticket costs its dispatcher some 0.1 ms.
CELL_SERVERS = 128
# Crashes after which a request's content is quarantined. More than one, since engines
# also crash for other reasons while unrelated requests run on them.
CRASHES_TO_QUARANTINE = 3
# Seconds for which a new dispatcher waits for reports of running requests: one
# heartbeat interval.
GATHER_SECONDS = 0.25
# Seconds between checks of lapsed servers and of readiness.
CHECK_INTERVAL = 0.1
# Some callers keep a directory answer for up to this many times its TTL.
MAX_TTL_FACTOR = 3.0
# Seconds before SIGKILL at which running requests are ended, so that their callers
# can still retry at another instance before their deadlines.
KILL_MARGIN = 0.4
# Seconds before SIGKILL at which the rest of the shutdown begins, and answers that are
# still being sent are cut.
STOP_MARGIN = 0.2


class Instance:
    """Runs all roles of one process."""

    def __init__(self, found: settings.FrontSettings) -> None:
        self.settings = found
        self.name = ids.InstanceId(found.instance)
        self.incarnation = ids.new_incarnation()
        self.stalls = stalls.Stalls()
        self.metrics = metrics.Registry()
        self.admission_counts = counts.Counts()
        # Shared by the cells that this instance dispatches.
        self.budgets = budgets.Budgets(found.crossing.bytes_per_second)
        # The load of this instance; None if callers aren't distributed by it.
        self.load: instance_load.InstanceLoad | None = None
        self.caller_memory = machine.new_budget(found.machine)
        self.listening = factories.Listening(
            found, self.caller_memory, self.declared_bounds
        )
        self.copying = streamcopy.Copying(found.stream_copies.enabled)
        self.early: localrefusals.LocalRefusals | None = None
        self.tasks: list[asyncio.Task[None]] = []
        # The first is the one for callers.
        self.listeners: list[listener.Listener] = []

    async def start(self) -> None:
        """Start all roles; accepts requests once a configuration is known."""
        self.stalls.start()
        self.start_mesh()
        self.start_catalog()
        self.start_accounts()
        self.start_dispatcher()
        await self.start_link()
        await self.start_ingress()
        self.start_load()
        await self.start_directory()
        await self.start_metrics()
        await self.start_admin()
        self.heartbeats.start()
        self.mesh.start_receiving()
        self.start_following()
        log.info(
            "started: incarnation {}, callers at {}, peers at {}, store at {}",
            self.incarnation,
            self.settings.listen.callers,
            self.settings.listen.peers,
            self.settings.store.address,
        )

    def start_mesh(self) -> None:
        """Listen for peers."""
        self.store = factories.new_store(self.settings, self.stalls)
        self.mesh = factories.new_mesh(self.settings, self.incarnation, self.stalls)
        own = factories.initial_heartbeat(self.settings, self.mesh, self.incarnation)
        heartbeat = self.settings.heartbeat
        self.members = members.Members(
            own, heartbeat.suspect_after, heartbeat.forget_after, self.stalls
        )
        self.heartbeats = factories.new_heartbeat_service(
            self.settings, self.mesh, self.members, self.store
        )

    def start_catalog(self) -> None:
        """Start to follow the configuration and the list of backend servers."""
        self.configuration = copies.ConfigurationCopy(
            names.CONFIGURATION_KEY, documents.decode_configuration
        )
        # Checked on each change, not only periodically: until an instance serves, it
        # ranks no peers and would refuse the first requests after a full restart.
        self.configuration.listeners.append(self.check_readiness)
        self.servers = serverlist.ServersCopy(documents.decode_server)
        self.pools = pools.Pools(self.servers, self.find_service)
        self.servers.listeners.append(self.apply_server_list)
        self.configuration.listeners.append(self.apply_server_list)
        self.servers.restoration.listeners.append(self.heartbeats.relist)
        followers = factories.new_followers(
            self.store, self.configuration, self.servers
        )
        self.following = following.Following(self.members, followers)
        self.sharing = sharing.Sharing(
            self.mesh,
            self.members,
            self.heartbeats,
            (self.configuration, self.servers),
            self.following,
            self.settings.machine.link_bytes_per_second,
        )
        self.sharing.start()

    def start_accounts(self) -> None:
        """Keep operators' orders for weights of accounts, where they are used."""
        self.weights: account_weights.OrderedWeights | None = None
        found = self.settings
        if not found.listen.admin_port and not found.fair_accounts.enabled:
            return
        self.weights = account_weights.OrderedWeights(
            self.mesh,
            self.members,
            self.heartbeats,
            storeadapter.StoreTable(self.store),
            accountshares.ConfiguredWeights(self.find_weight),
        )
        self.servers.restoration.listeners.append(self.weights.restore)
        self.weights.start()

    def start_dispatcher(self) -> None:
        """Start the dispatcher, the requester, the limits and the quarantine."""
        found = self.settings
        self.quarantine = quarantine_role.Quarantine(
            self.mesh,
            self.members,
            self.heartbeats,
            storeadapter.StoreTable(self.store),
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
            lambda: len(self.heartbeats.listed_endpoints()),
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
            factories.scheduler_factory(found),
            None,
            0.0,
            self.quarantine,
            source=self.metrics,
            gather_seconds=GATHER_SECONDS,
            exposures=self.rollouts if found.rollouts.enabled else None,
            new_admission=self.new_admission if found.admission.enabled else None,
            sharing=self.new_sharing(),
            new_crossing=self.new_crossing,
            crossings=self.new_crossing_reports(),
        )
        if found.rollouts.enabled:
            self.rollouts.start()
        self.dispatcher.start()
        self.tickets = requester.Requester(
            self.mesh, self.members, found.dispatch.ticket_timeout, self.spread
        )
        if found.admission.enabled:
            self.start_local_refusals()
        self.tickets.start()
        self.tickets.listeners.append(self.quarantine.record_end)
        self.origins = origins.OriginFinder(
            self.mesh,
            self.members,
            keeping.Keeper(storeadapter.StoreTable(self.store), self.incarnation),
            self.following.is_current,
        )
        self.origins.start()
        requestmetrics.add_admission(self.metrics, self.admission_counts)
        requestmetrics.add_refusals(
            self.metrics,
            self.quarantine,
            self.origins,
            lambda: self.ingress.lost_versions,
        )
        if found.crossing.enabled:
            loadmetrics.add_crossings(self.metrics, self.budgets)
        loadmetrics.add_copies(self.metrics, self.copying)
        requestmetrics.add_grants(self.metrics, self.tickets)
        requestmetrics.add_restarts(self.metrics)

    def start_local_refusals(self) -> None:
        """Keep promised returns, and follow what dispatchers refuse."""
        kept = entrypromises.EntryPromises(self.mesh, self.members)
        self.tickets.promises = kept
        self.tickets.takes_notices = True
        self.early = localrefusals.LocalRefusals(
            self.mesh,
            self.members,
            kept,
            self.settings.admission.return_share,
            self.admission_counts,
        )
        self.early.start()

    def new_admission(self) -> admission_policy.AdmitByGoal:
        """Return the admission of a cell that this instance begins to serve."""
        share = self.settings.admission.return_share
        return admission_policy.AdmitByGoal(share, self.admission_counts)

    def new_sharing(self) -> accountreports.AccountSharing | None:
        """Return how slots are shared among accounts; None if they aren't."""
        if not self.settings.fair_accounts.enabled:
            return None
        return accountreports.FairSharing(
            self.mesh, self.members, self.spread.find, self.weights
        )

    def new_crossing(self) -> crossing.Crossing:
        """Return the policy of traffic between data centres for one cell."""
        if self.settings.crossing.enabled:
            return crossing.BudgetedCrossing(self.budgets)
        return crossing.ConstantPenalty()

    def new_crossing_reports(self) -> crossingreports.CrossingReports | None:
        """Return how budgets of bytes are divided; None if there are none."""
        if not self.settings.crossing.enabled:
            return None
        return crossingreports.SharedBudgets(
            self.mesh, self.members, self.list_cells, self.budgets
        )

    def list_cells(self) -> list[cells.Cell]:
        """Return the cells of all services."""
        found = map(self.spread.divide, self.pools.found.values())
        return [cell for division in found for cell in division.cells]

    async def start_link(self) -> None:
        """Open the ways to backend servers, one's own and those through others."""
        self.link = backendlink.HttpBackendLink(self.stalls)
        await self.link.start()
        evidence = self.dispatcher.paths
        self.path_finder = relaying.PathFinder(
            self.link, self.name, helpers.Helpers(self.members, evidence), evidence
        )
        self.relay = relay_server.RelayServer(
            self.link, self.name, self.tickets, evidence
        )
        requestmetrics.add_relays(self.metrics, self.path_finder, self.relay)

    async def start_ingress(self) -> None:
        """Listen for callers."""
        found = self.settings
        self.streams = hanging.HangingStreams(
            self.dispatcher.paths, self.members.is_heard, self.stalls
        )
        self.ingress = http.Ingress(
            exchange.Services(
                link=self.path_finder,
                tickets=self.tickets,
                budget=budget.RetryBudget(
                    factories.retry_allowance(found),
                    self.limits.presence.count_possible,
                    clock.now(),
                ),
                entry=tickets.EntryInstance(
                    self.name, ids.DataCentreId(found.data_centre)
                ),
                streams=self.streams,
                origins=self.origins,
                quarantine=self.quarantine,
                copying=self.copying,
            ),
            self.configuration,
            self.spread,
            self.limits,
            self.quarantine,
            callers.CallerCodec(),
            self.metrics,
            self.start_counts(),
            self.early,
            self.caller_memory,
        )
        loadmetrics.add_caller_memory(self.metrics, self.caller_memory)
        self.listeners.append(await self.listening.for_callers(self.ingress.routes()))
        if found.listen.relay_port:
            self.listeners.append(await self.listening.for_relays(self.relay.routes()))

    def start_counts(self) -> tallies.Tallies:
        """Return the counts of requests by account, which the metrics expose."""
        self.counts = tallies.Tallies(ids.DataCentreId(self.settings.data_centre))
        requestmetrics.add_accounts(self.metrics, self.counts)
        return self.counts

    def start_load(self) -> None:
        """Start to measure this instance's load, if callers are distributed by it."""
        found = self.settings
        if not found.instance_load.enabled:
            return
        answers = unread.UnreadAnswers(lambda: self.listeners[0].open)
        self.load = instance_load.InstanceLoad(
            self.members,
            figures.ProcessSource(answers.size, self.traffic),
            factories.machine_limits(found),
            answers,
            clock.now(),
        )
        self.ingress.protection = self.load.protection
        loadmetrics.add(self.metrics, self.load)
        self.load.start()

    def traffic(self) -> figures.Traffic:
        """Return the bytes that callers, backend servers and peers sent and got."""
        bodies = self.ingress.services.traffic
        return figures.Traffic(
            bodies.sent + self.mesh.sent_bytes,
            bodies.received + self.mesh.received_bytes,
        )

    async def start_directory(self) -> None:
        """Listen for queries of the directory and of readiness."""
        found = self.settings
        given = addresses.MemberAddresses(self.members, found.instance_load.enabled)
        if found.instance_load.enabled:
            loadmetrics.add_directory(self.metrics, given)
        self.directory = directory.Directory(given, found.leaving.directory_ttl_seconds)
        self.listeners.append(await self.listening.for_lookups(self.directory.routes()))
        await self.serve(found.listen.ready, self.directory.ready_routes())

    async def start_metrics(self) -> None:
        """Serve the metrics; a port that can't be bound is only logged."""
        port = self.settings.listen.metrics_port
        if port == 0:
            return
        host = endpoint.parse(self.settings.listen.callers).host
        shown = probes.Probes(self.members, self.metrics)
        try:
            await self.serve(f"{host}:{port}", shown.routes())
        except OSError as error:
            log.warning("metrics not served at port {}: {}", port, error)

    async def start_admin(self) -> None:
        """Listen for operators' commands on the loopback interface."""
        port = self.settings.listen.admin_port
        if port != 0:
            shown = handlers.QuarantineHandlers(self.quarantine)
            accounts = account_handlers.AccountHandlers(
                self.weights, self.counts, lambda: self.configuration.current
            )
            routes = [*shown.routes(), *accounts.routes()]
            await self.serve(f"127.0.0.1:{port}", routes)

    async def serve(self, address: str, routes: list[web.RouteDef]) -> None:
        """Serve handlers for the platform or for operators."""
        self.listeners.append(await self.listening.for_probes(address, routes))

    def start_following(self) -> None:
        """Start to follow the store and to run the periodic checks."""
        self.following.start()
        self.tasks.append(tasks.start_loop(self.run_checks, "readiness"))

    async def run_checks(self) -> None:
        """Check readiness and lapsed servers periodically until cancelled."""
        while True:
            now = clock.now()
            self.servers.expire_lapses(now)
            self.servers.release_withheld(now)
            self.check_readiness()
            self.announce_paths()
            self.streams.end(now)
            await asyncio.sleep(CHECK_INTERVAL)

    def check_readiness(self) -> None:
        """Start to serve as soon as a configuration is known."""
        is_joining = self.members.own.lifecycle is messages.Lifecycle.JOINING
        if is_joining and self.configuration.current is not None:
            revision = revisions.text(self.configuration.revision)
            log.info("serving with configuration {}", revision)
            self.members.update_own(lifecycle=messages.Lifecycle.SERVING)
            self.heartbeats.broadcast()

    def announce_paths(self) -> None:
        """Tell the peers whether this instance reaches backend servers."""
        evidence = self.dispatcher.paths
        now = clock.now()
        is_doubtful = evidence.is_doubtful(self.name, now)
        reaches = not (is_doubtful or evidence.is_cut_off(self.name, now))
        if reaches != self.members.own.reaches_servers:
            log.info("backend servers {}", "reached" if reaches else "not reached")
            self.members.update_own(reaches_servers=reaches)

    def apply_server_list(self) -> None:
        """Apply a new list of backend servers."""
        self.pools.refresh()
        self.dispatcher.reconfigure()
        self.origins.apply_servers(self.pools.versions(), clock.now())

    def reload(self, found: settings.FrontSettings) -> None:
        """Apply the settings that can change at run time; log those that can't."""
        before = self.settings
        fixed = ("instance", "data_centre", "listen", "store")
        changed = [n for n in fixed if getattr(before, n) != getattr(found, n)]
        if changed:
            log.warning(
                "settings {} take effect only after a restart", ", ".join(changed)
            )
        self.settings = found
        self.heartbeats.seeds = tuple(endpoint.parse(seed) for seed in found.seeds)
        for seed in self.heartbeats.seeds:
            self.heartbeats.add_peer(seed)
        self.ingress.services.budget.allowance = factories.retry_allowance(found)
        self.limits.slack = found.account_limits.slack
        self.members.update_own(
            strength=factories.processor_class_of(found),
            link_class=factories.link_class_of(found),
        )
        self.caller_memory.limit = machine.caller_bytes(found.machine)
        if self.load is not None:
            limits = factories.machine_limits(found)
            self.load.reconfigure(factories.capacity_of(found), limits)
        self.directory.ttl_seconds = found.leaving.directory_ttl_seconds
        log.info("settings reloaded: {}", "changed" if before != found else "alike")

    def register_dropped_lines(self, count: Callable[[], int]) -> None:
        """Add a metric that counts dropped log lines."""
        self.metrics.add_observable_counter(
            "tealcove.log.dropped_lines",
            "Log lines beyond the bound, which were not written.",
            count,
        )

    def declared_bounds(self) -> declared.Bounds:
        """Return what the operator allows callers by the configuration in force."""
        current = self.configuration.current
        return declared.Bounds() if current is None else current.catalog.bounds

    def find_weight(self, account: ids.AccountId) -> float | None:
        """Return an account's weight by the configuration in force, if it has one."""
        current = self.configuration.current
        return None if current is None else current.weights.get(account)

    def find_limit(self, account: ids.AccountId) -> limit.Limit | None:
        """Return an account's limit by the configuration in force, if it has one."""
        current = self.configuration.current
        found = None if current is None else current.accounts.get(account)
        return None if found is None else found.limit

    def find_service(self, name: ids.PoolId) -> declared.Service | None:
        """Return a service by the configuration in force."""
        current = self.configuration.current
        return None if current is None else current.services.get(name)

    async def leave(self) -> None:
        """Shut down gracefully: let requests in progress end if time allows.

        Callers cache the answers of the directory, so the instance accepts requests
        until these have expired. After that it accepts no new ones, so that those in
        progress can end before SIGKILL.
        """
        began = clock.now()
        log.info("leaving: {} requests in progress", len(self.ingress.in_progress))
        self.members.update_own(lifecycle=messages.Lifecycle.LEAVING)
        self.heartbeats.broadcast()
        self.ingress.is_leaving = True
        self.relay.is_closed = True
        self.lift_send_limits()
        leaving = self.settings.leaving
        await asyncio.sleep(MAX_TTL_FACTOR * leaving.directory_ttl_seconds)
        self.ingress.is_closed = True
        killed = began + leaving.grace_seconds
        await listener.drain(self.count_busy, ids.Instant(killed - KILL_MARGIN))
        ended = len(self.ingress.in_progress)
        self.ingress.end_requests()
        # Again, for connections that were accepted meanwhile.
        self.lift_send_limits()
        await listener.drain(self.count_busy, ids.Instant(killed - STOP_MARGIN))
        log.info(
            "stopping: {} requests ended early, {} connections cut",
            ended,
            self.count_busy(),
        )

    def lift_send_limits(self) -> None:
        """Let the kernel take what it can of the answers that are being sent."""
        for listening in self.listeners:
            listening.lift_send_limit()

    def count_busy(self) -> int:
        """Return the connections with a request or an answer in progress."""
        return listener.count_busy(listening.runner for listening in self.listeners)

    async def stop(self) -> None:
        """End all tasks and close all sockets."""
        # Together, since each waits for handlers that don't end.
        await asyncio.gather(
            *(listening.stop() for listening in self.listeners),
        )
        await tasks.stop(self.tasks)
        if self.load is not None:
            await self.load.stop()
        await self.following.stop()
        await self.sharing.stop()
        await self.heartbeats.stop()
        await self.rollouts.stop()
        await self.origins.stop()
        await self.dispatcher.stop()
        await self.quarantine.stop()
        if self.weights is not None:
            await self.weights.stop()
        await self.tickets.stop()
        await self.mesh.stop()
        await self.link.stop()
        await self.store.close()
        self.stalls.stop()


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
