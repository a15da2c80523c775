"""The backend servers grouped in pools, as the dispatcher uses them."""

from __future__ import annotations

import math
from collections.abc import Callable

from tealcove import ids
from tealcove.catalog import declared, serverlist
from tealcove.resources import kinds

WRITER = "store"


class Pools:
    """Pools by service; each is rebuilt only when its servers have changed."""

    def __init__(
        self,
        servers: serverlist.ServersCopy,
        find_service: Callable[[ids.PoolId], declared.Service | None],
    ) -> None:
        self.servers = servers
        # Returns a service by the configuration in force.
        self.find_service = find_service
        self.found: dict[str, kinds.Resource] = {}

    def refresh(self) -> None:
        """Rebuild the pools whose servers have changed."""
        by_service: dict[ids.PoolId, list[declared.BackendServer]] = {}
        for known in self.servers.known.values():
            by_service.setdefault(known.server.service, []).append(known.server)
        for service in set(self.found) | set(by_service):
            found = self.find_service(ids.PoolId(service))
            cold_rate = 0.0 if found is None else found.cold_rate
            spec = spec_of(by_service.get(service, []), cold_rate)
            before = self.found.get(service)
            if before is None or before.spec != spec:
                self.found[service] = resource(service, spec, self.servers.revision)

    @property
    def current(self) -> Pools:
        """The current pools; see dispatch.spread.PoolsOwner."""
        return self

    def pool(self, name: str) -> kinds.Resource | None:
        """Return a service's pool, or None if it never had a server."""
        return self.found.get(name)

    def versions(self) -> dict[ids.PoolId, frozenset[ids.SoftwareVersion]]:
        """Return the software versions of each service's listed servers."""
        return {
            ids.PoolId(service): frozenset(one.version for one in pool.spec.servers)
            for service, pool in self.found.items()
        }

    def has_left(
        self,
        name: str,
        server: ids.BackendServerId,
        start: ids.ServerStart,
        revision: ids.Revision,
    ) -> bool:
        """Return whether a server is known to be leaving or gone.

        The revision is ignored: a dispatcher at a newer one may keep a server whose
        entry has lapsed there.
        """
        return self.servers.has_left(server) or self.is_withheld(server, start)

    def is_withheld(self, server: ids.BackendServerId, start: ids.ServerStart) -> bool:
        """Return whether a start of a server is over, by the restored store's entry."""
        known = self.servers.known.get(server)
        if known is None or known.server.start == start:
            return False
        return self.servers.restoration.start_of(server) == start


def spec_of(
    found: list[declared.BackendServer], cold_rate: float
) -> kinds.ServicePoolSpec:
    """Return the spec of a pool of servers, sorted by name.

    Whole seconds are left of a cold server's time, since each change of them has the
    pool built anew.
    """
    servers = tuple(
        kinds.BackendServerSpec(
            name=server.name,
            host=server.host,
            port=server.port,
            data_centre=server.data_centre,
            slots=server.slots,
            state=state_of(server),
            start=server.start,
            version=server.version,
            cold_rate=cold_rate,
            cold_seconds=math.ceil(server.cold_seconds) if cold_rate else 0.0,
        )
        for server in sorted(found, key=lambda server: server.name)
    )
    return kinds.ServicePoolSpec(servers=servers)


def state_of(server: declared.BackendServer) -> kinds.ServerState:
    """Return the pool state of a server: leaving or serving."""
    if server.state is declared.ServerState.LEAVING:
        return kinds.ServerState.LEAVING
    return kinds.ServerState.SERVING


def resource(
    service: str, spec: kinds.ServicePoolSpec, revision: ids.Revision
) -> kinds.Resource:
    """Return a pool as a resource."""
    metadata = kinds.Metadata(
        name=service, revision=revision, generation=0, changed_by=WRITER
    )
    return kinds.Resource(kind=kinds.Kind.SERVICE_POOL, metadata=metadata, spec=spec)
