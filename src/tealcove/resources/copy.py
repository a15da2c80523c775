"""An instance's copy of the configuration; its revision only increases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

import logbook

from tealcove import ids
from tealcove.resources import accounts, codec, kinds, routing

LOG = logbook.Logger("resources")

NO_REVISION = ids.Revision(0)


class Configuration:
    """An immutable view of all resources at one revision."""

    def __init__(
        self,
        revision: ids.Revision,
        resources: Mapping[kinds.Kind, Mapping[str, kinds.Resource]],
        routing_table: routing.RoutingTable | None = None,
    ) -> None:
        self.revision = revision
        self.resources = resources
        if routing_table is None:
            rules = resources[kinds.Kind.ROUTING_RULE].values()
            routing_table = routing.RoutingTable(rules)
        self.routing_table = routing_table

    def get(self, kind: kinds.Kind, name: str) -> kinds.Resource | None:
        """Return a resource, or None."""
        return self.resources[kind].get(name)

    def names(self, kind: kinds.Kind) -> list[str]:
        """Return the names of all resources of a kind, sorted."""
        return sorted(self.resources[kind])

    def account_by_key_hash(self, key_hash: str) -> kinds.Resource | None:
        """Return the client account that owns a key, given its SHA-256 in hex."""
        table = self.resources[kinds.Kind.CLIENT_ACCOUNT]
        name = table.name_by_key_hash(key_hash)
        return None if name is None else table[name]

    @property
    def tiers(self) -> Mapping[str, kinds.Resource]:
        """All service tiers by name."""
        return self.resources[kinds.Kind.SERVICE_TIER]

    @property
    def engine_pools(self) -> Mapping[str, kinds.Resource]:
        """All engine pools by name."""
        return self.resources[kinds.Kind.ENGINE_POOL]

    @property
    def service_pools(self) -> Mapping[str, kinds.Resource]:
        """All service pools by name."""
        return self.resources[kinds.Kind.SERVICE_POOL]

    def pool(self, name: str) -> kinds.Resource | None:
        """Return the engine pool or service pool of this name, or None."""
        return self.engine_pools.get(name) or self.service_pools.get(name)

    def has_left(
        self,
        name: str,
        server: ids.BackendServerId,
        start: ids.ServerStart,
        revision: ids.Revision,
    ) -> bool:
        """Tell whether a server has left a pool since the given revision."""
        pool = self.pool(name)
        if pool is None or pool.metadata.revision <= revision:
            return False
        return not any(
            spec.name == server and spec.state is kinds.ServerState.SERVING
            for spec in pool.spec.servers
        )

    def route(
        self, path: str, method: str, model: str | None, account: str | None
    ) -> kinds.Resource | None:
        """Return the routing rule for a request, or None if none matches."""
        return self.routing_table.route(path, method, model, account)

    def with_changes(self, changes: Iterable[codec.Change]) -> Configuration:
        """Return the configuration after changes that directly follow this revision.

        Raises ValueError if revisions aren't consecutive: with a change left out,
        the copy would differ from its peers' permanently and undetected.
        """
        revision = self.revision
        latest: dict[kinds.Kind, dict[str, kinds.Resource | None]] = {}
        for change in changes:
            if change.revision != revision + 1:
                raise ValueError(
                    f"change {change.revision} doesn't follow revision {revision}"
                )
            revision = change.revision
            latest.setdefault(change.kind, {})[change.name] = change.resource
        resources = dict(self.resources)
        for kind, changed in latest.items():
            resources[kind] = replaced(resources[kind], changed)
        kept_rules = kinds.Kind.ROUTING_RULE not in latest
        table = self.routing_table if kept_rules else None
        return Configuration(revision, resources, table)


def replaced(
    resources: Mapping[str, kinds.Resource],
    changed: Mapping[str, kinds.Resource | None],
) -> Mapping[str, kinds.Resource]:
    """Return resources of one kind with some replaced, added or (if None) deleted."""
    if isinstance(resources, accounts.AccountTable):
        return resources.with_changes(changed)
    merged = {**resources, **changed}
    return {name: found for name, found in merged.items() if found is not None}


def empty() -> Configuration:
    """Return the configuration before the first change."""
    resources: dict[kinds.Kind, Mapping[str, kinds.Resource]] = {}
    for kind in kinds.Kind:
        resources[kind] = {}
    resources[kinds.Kind.CLIENT_ACCOUNT] = accounts.AccountTable({}, {}, {})
    return Configuration(NO_REVISION, resources)


# Called with the previous configuration and the one now in force.
Subscriber = Callable[[Configuration, Configuration], None]


class ConfigurationCopy:
    """The configuration in force on this instance."""

    def __init__(self) -> None:
        self.current = empty()
        self.subscribers: list[Subscriber] = []
        self.activated = asyncio.Event()

    @property
    def revision(self) -> ids.Revision:
        """The revision in force."""
        return self.current.revision

    def subscribe(self, subscriber: Subscriber) -> Callable[[], None]:
        """Call `subscriber` after each activation; return a function to unsubscribe."""
        self.subscribers.append(subscriber)
        return lambda: self.subscribers.remove(subscriber)

    def activate(self, configuration: Configuration) -> bool:
        """Put a configuration in force if its revision is higher."""
        if configuration.revision <= self.current.revision:
            return False
        previous = self.current
        self.current = configuration
        self.activated.set()
        self.activated = asyncio.Event()
        for subscriber in tuple(self.subscribers):
            self.notify(subscriber, previous)
        return True

    def notify(self, subscriber: Subscriber, previous: Configuration) -> None:
        """Call one subscriber; its failure must not affect the others."""
        try:
            subscriber(previous, self.current)
        except Exception:
            LOG.exception(
                "A subscriber failed on the activation of revision {}", self.revision
            )

    async def wait_for(self, revision: ids.Revision) -> Configuration:
        """Wait until this revision or a higher one is in force."""
        while self.current.revision < revision:
            await self.activated.wait()
        return self.current
