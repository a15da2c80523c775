"""Finds out at which software version a stream began, at whatever instance."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Iterable, Mapping

import logbook
import msgspec

from tealcove import clock, errors, ids, tasks
from tealcove.membership import members
from tealcove.origins import keeping, known, messages, questions
from tealcove.peers import mesh

log = logbook.Logger("origins")

# Instances that know the origins of a service's streams, of all entries.
HOMES = 2
# Seconds for which an entry collects origins before it reports them.
REPORT_INTERVAL = 0.03
# Seconds after which a report that was dropped is sent again.
RETRY_INTERVAL = 0.5
# Seconds from a change of servers or homes until a version that serves alone is kept;
# homes change often while instances start.
SETTLING_SECONDS = 0.5
# Seconds that an entry waits for the store.
STORE_TIMEOUT = 0.5

# Tells whether no known instance has a newer list of servers than this one.
IsCurrent = Callable[[ids.Instant], bool]


class Source(enum.Enum):
    """How the version of a stream is known."""

    MEMORY = "known to this instance"
    HOME = "a home knows it"
    STORE = "kept in the store"
    ONLY = "no other version has served"
    UNKNOWN = "not known"


class Found(msgspec.Struct, frozen=True):
    """The version at which a stream began; None: not known."""

    version: ids.SoftwareVersion | None
    source: Source


UNKNOWN = Found(None, Source.UNKNOWN)


class OriginFinder:
    """Records origins of streams, shares and keeps them, and answers for others.

    Each instance knows the streams that began there. While several versions serve,
    or have done so within the life of a stream, it also reports them to two homes by
    the ranking, and the first of these keeps them in the store. Where one version has
    served alone, the first home keeps its name there once, for processes that start
    after another one has taken its place; nothing else is sent until a caller returns.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        known_members: members.Members,
        keeper: keeping.Keeper,
        is_current: IsCurrent,
    ) -> None:
        self.transport = transport
        self.members = known_members
        self.keeper = keeper
        self.is_current = is_current
        self.services: dict[ids.PoolId, known.ServiceOrigins] = {}
        self.questions = questions.Questions(transport, known_members)
        self.has_news = asyncio.Event()
        self.reporting: asyncio.Task[None] | None = None
        # Set when the servers or the homes have changed.
        self.has_changed = asyncio.Event()
        self.keeping: asyncio.Task[None] | None = None
        # Counts of streams that callers took up, by how their version was known.
        self.counts: dict[Source, int] = dict.fromkeys(Source, 0)

    def start(self) -> None:
        """Register the message handlers and start to report."""
        self.transport.handle(messages.OriginReport, self.handle_report)
        self.transport.handle(messages.OriginQuestion, self.handle_question)
        self.questions.start()
        self.members.listen(self.has_news.set)
        self.members.listen(self.has_changed.set)
        self.reporting = tasks.start_loop(
            self.report_periodically, "reports of origins"
        )
        self.keeping = tasks.start_loop(
            self.keep_single_versions, "versions that serve alone"
        )
        self.keeper.start()

    async def stop(self) -> None:
        """Stop all tasks."""
        await tasks.stop([self.reporting, self.keeping])
        await self.keeper.stop()

    def of_service(self, service: ids.PoolId) -> known.ServiceOrigins:
        """Return what is known of a service."""
        found = self.services.get(service)
        if found is None:
            found = self.services[service] = known.ServiceOrigins()
        return found

    def apply_servers(
        self,
        listed: Mapping[ids.PoolId, Iterable[ids.SoftwareVersion]],
        now: ids.Instant,
    ) -> None:
        """Apply the versions of the listed servers of all services."""
        for service in {*listed, *self.services}:
            found = self.of_service(service)
            before = found.history.listed
            found.history.update(listed.get(service, ()), now)
            if found.history.listed == before:
                continue
            self.has_changed.set()
            if found.is_mixed(now):
                served = sorted(found.history.served(now))
                log.info("versions of {} that serve or did: {}", service, served)
                self.has_news.set()

    def record(
        self,
        service: ids.PoolId,
        request: ids.RequestId,
        version: ids.SoftwareVersion,
        now: ids.Instant,
    ) -> None:
        """Record the version of a stream, by the request that brought its first event.

        Also called for a stream that goes on here, so that it's known for longer.
        """
        found = self.of_service(service)
        found.history.note(version, now)
        origin = messages.Origin(messages.digest(request), version)
        found.own.add(origin, now)
        if found.is_mixed(now):
            found.unreported.append(origin)
            self.has_news.set()
        else:
            # Homes get all origins as soon as another version comes.
            found.informed = frozenset()

    async def report_periodically(self) -> None:
        """Report origins while several versions serve, until cancelled."""
        # News from before this loop failed, if it did.
        self.has_news.set()
        while True:
            await self.has_news.wait()
            self.has_news.clear()
            for service, found in self.services.items():
                if found.is_mixed(clock.now()):
                    self.report(service, found, clock.now())
            await asyncio.sleep(REPORT_INTERVAL)

    async def keep_single_versions(self) -> None:
        """Keep the names of versions that serve alone, until cancelled."""
        # Changes from before this loop failed, if it did.
        self.has_changed.set()
        while True:
            await self.has_changed.wait()
            await asyncio.sleep(SETTLING_SECONDS)
            self.has_changed.clear()
            now = clock.now()
            for service, found in self.services.items():
                if found.history.listed and not found.is_mixed(now):
                    self.keep_single_version(service, found, now)

    def keep_single_version(
        self, service: ids.PoolId, found: known.ServiceOrigins, now: ids.Instant
    ) -> None:
        """Keep the version of a service, as its first home."""
        if self.is_first_home(service, now):
            self.keep_versions(service, found)
        else:
            found.kept_versions = None

    def is_first_home(self, service: ids.PoolId, now: ids.Instant) -> bool:
        """Tell whether this instance keeps what the store has of a service."""
        return self.homes(service, now)[:1] == [self.members.own.instance]

    def homes(self, service: ids.PoolId, now: ids.Instant) -> list[ids.InstanceId]:
        """Return the instances that know the origins of a service's streams."""
        return self.members.rank(f"origins of {service}", now)[:HOMES]

    def report(
        self, service: ids.PoolId, found: known.ServiceOrigins, now: ids.Instant
    ) -> None:
        """Report the new origins to the homes, and all of them to a new home."""
        homes = self.homes(service, now)
        informed = set()
        for home in homes:
            heartbeat = self.members.find(home)
            process = (home, heartbeat.incarnation)
            is_new = process not in found.informed
            origins = found.own.all() if is_new else tuple(found.unreported)
            if self.send_report(service, home, origins, now):
                informed.add(process)
        found.informed = frozenset(informed)
        found.unreported.clear()
        if len(informed) < len(homes):
            loop = asyncio.get_running_loop()
            loop.call_later(RETRY_INTERVAL, self.has_news.set)
        is_first = self.is_first_home(service, now)
        if is_first:
            self.keep(service, found, now)
        found.is_keeping = is_first

    def send_report(
        self,
        service: ids.PoolId,
        home: ids.InstanceId,
        origins: tuple[messages.Origin, ...],
        now: ids.Instant,
    ) -> bool:
        """Send origins to a home; return False if the message was dropped."""
        if not origins:
            return True
        report = messages.OriginReport(service=service, origins=origins)
        if home == self.members.own.instance:
            self.handle_report(home, report)
            return True
        peer = self.members.endpoint_of(home)
        return peer is not None and self.transport.send(peer, report)

    def keep(
        self, service: ids.PoolId, found: known.ServiceOrigins, now: ids.Instant
    ) -> None:
        """Keep the versions of a service in the store, and what an earlier home had."""
        if not found.is_keeping:
            self.keeper.add(service, found.reported.all(), now)
            found.kept_versions = None
        self.keep_versions(service, found)

    def keep_versions(self, service: ids.PoolId, found: known.ServiceOrigins) -> None:
        """Keep the listed versions of a service in the store, if they have changed."""
        if found.kept_versions != found.history.listed:
            found.kept_versions = found.history.listed
            self.keeper.note_versions(service, found.history.times())

    def handle_report(
        self, sender: ids.InstanceId, report: messages.OriginReport
    ) -> None:
        """Record what an entry reports, and keep it in the store as the first home."""
        now = clock.now()
        found = self.of_service(report.service)
        for origin in report.origins:
            found.reported.add(origin, now)
            found.history.note(origin.version, now)
        if found.is_keeping:
            self.keeper.add(report.service, report.origins, now)

    def handle_question(
        self, sender: ids.InstanceId, question: messages.OriginQuestion
    ) -> None:
        """Answer an entry's question."""
        now = clock.now()
        found = self.of_service(question.service)
        answer = messages.OriginAnswer(
            number=question.number,
            version=found.find(question.stream),
            served=found.history.ages(now),
            is_complete=found.history.is_complete(now) and self.is_current(now),
        )
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            self.transport.send(peer, answer)

    async def find(self, service: ids.PoolId, request: ids.RequestId | None) -> Found:
        """Return the version of a stream that a caller takes up.

        `request`: the one that brought its first event; None if it isn't named.
        """
        found = await self.search(service, request)
        self.counts[found.source] += 1
        return found

    async def search(self, service: ids.PoolId, request: ids.RequestId | None) -> Found:
        """Search in memory, at the homes and in the store, in this order."""
        own = self.of_service(service)
        stream = None if request is None else messages.digest(request)
        version = None if stream is None else own.find(stream)
        if version is not None:
            return Found(version, Source.MEMORY)
        homes = self.homes(service, clock.now())
        answers = await self.questions.ask(homes, service, stream or b"")
        for answer in answers or ():
            if answer.version is not None:
                return Found(answer.version, Source.HOME)
            own.history.add(answer.served, clock.now())
        now = clock.now()
        if answers is not None and self.is_history_known(own, answers, now):
            only = only_version(own.history.served(now))
            if only is not None:
                return Found(only, Source.ONLY)
        return await self.search_store(service, own, stream)

    def is_history_known(
        self,
        own: known.ServiceOrigins,
        answers: list[messages.OriginAnswer],
        now: ids.Instant,
    ) -> bool:
        """Tell whether this instance or a home knows all versions that served."""
        is_complete = own.history.is_complete(now) and self.is_current(now)
        return is_complete or any(answer.is_complete for answer in answers)

    async def search_store(
        self, service: ids.PoolId, own: known.ServiceOrigins, stream: bytes | None
    ) -> Found:
        """Search in the store; whatever it has is recorded here."""
        try:
            async with self.members.stalls.timeout(STORE_TIMEOUT):
                kept = await self.keeper.read(service)
        except (errors.PlatformError, TimeoutError) as error:
            log.info("origins of {} can't be read: {}", service, error)
            return UNKNOWN
        now = clock.now()
        for origin in kept.origins:
            own.reported.add(origin, now)
        version = None if stream is None else own.find(stream)
        if version is not None:
            return Found(version, Source.STORE)
        own.history.add(kept.served, now)
        own.history.set_complete()
        if own.is_mixed(now):
            # Also where all instances that knew these versions have died.
            self.keeper.note_versions(service, own.history.times())
            self.has_news.set()
        only = only_version(own.history.served(now))
        return UNKNOWN if only is None else Found(only, Source.ONLY)


def only_version(
    served: frozenset[ids.SoftwareVersion],
) -> ids.SoftwareVersion | None:
    """Return the version that has served alone, or None."""
    return next(iter(served)) if len(served) == 1 else None
