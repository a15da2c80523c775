"""Finds the route and the account of a request in a catalog."""

from __future__ import annotations

import collections

from tealcove import ids
from tealcove.catalog import accountweights, declared


class Lookup:
    """A catalog indexed for lookups per request."""

    def __init__(self, catalog: declared.Catalog, revision: ids.Revision) -> None:
        self.catalog = catalog
        self.revision = revision
        self.services = {service.name: service for service in catalog.services}
        self.accounts = {account.name: account for account in catalog.accounts}
        # The weights of the accounts that have limits.
        self.weights = accountweights.by_limits(catalog.accounts)
        self.has_tiers = any(one.rank is not None for one in catalog.accounts)
        # By host, then by prefix: a lookup tries each prefix of the request's path, so
        # its cost doesn't grow with the number of routes.
        self.routes: dict[str, dict[str, declared.Route]] = collections.defaultdict(
            dict
        )
        for route in catalog.routes:
            self.routes[route.host.lower()][route.prefix] = route

    def find_route(self, host: str, path: str) -> declared.Route | None:
        """Return the route with the longest prefix of a path, or None.

        A port in `host` is ignored.
        """
        found = self.routes.get(host.partition(":")[0].lower())
        if not found:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = found.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str | None) -> declared.Account | None:
        """Return the account that holds a key, or None."""
        name = None if key is None else self.catalog.keys.get(key)
        return None if name is None else self.accounts.get(name)

    @property
    def requires_keys(self) -> bool:
        """Whether callers of routes that aren't public need a key."""
        return bool(self.catalog.accounts)
