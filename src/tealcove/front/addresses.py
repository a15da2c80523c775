"""The addresses that callers are given, and whether this instance is ready."""

from __future__ import annotations

from tealcove import clock, ids
from tealcove.front import sharednumbers
from tealcove.instances import capacity
from tealcove.membership import addresses, members, messages, ranking

# An answer names only instances of the caller's data centre if there are this many:
# one of them may have just crashed, and traffic between data centres is charged.
ENOUGH_LOCAL = 2
MAX_ADDRESSES = 64
# Addresses for each caller if callers are distributed by weights. A caller tries
# another one when one fails. With more of them, callers that choose among theirs at
# random would spread evenly, whatever the weights.
SUBSET_SIZE = 3
SMALL_SUBSET_SIZE = 2
# Instances from which on the larger subset is given: with fewer, three are a large
# part of all.
LARGE_GROUP = 12


class MemberAddresses(addresses.AddressSource):
    """Finds addresses and readiness in the membership."""

    def __init__(self, known: members.Members, uses_weights: bool = False) -> None:
        self.members = known
        # Whether each caller gets a subset by capacity and headroom, not all addresses.
        self.uses_weights = uses_weights
        self.shared = sharednumbers.SharedNumbers()

    def addresses(self, data_centre: ids.DataCentreId, caller: str = "") -> list[str]:
        """See AddressSource."""
        now = clock.now()
        chosen = near(self.members.serving(now), data_centre)
        if self.uses_weights:
            chosen = subset(self.shared.key(caller, now), chosen)
        return [f"{h.host}:{h.http_port}" for h in chosen[:MAX_ADDRESSES]]

    def is_ready(self) -> bool:
        """Return whether this instance is serving."""
        return self.members.own.lifecycle is messages.Lifecycle.SERVING


def near(
    serving: list[messages.Heartbeat], data_centre: ids.DataCentreId
) -> list[messages.Heartbeat]:
    """Return the instances of a data centre, or all if it has too few."""
    local = [h for h in serving if h.data_centre == data_centre]
    return local if len(local) >= ENOUGH_LOCAL else serving


def subset(caller: str, serving: list[messages.Heartbeat]) -> list[messages.Heartbeat]:
    """Return a caller's subset, which is stable and follows the weights."""
    by_name = {heartbeat.instance: heartbeat for heartbeat in serving}
    weights = {name: capacity.weight(found) for name, found in by_name.items()}
    ranked = ranking.rank_by_weight(caller, weights)
    size = SUBSET_SIZE if len(ranked) >= LARGE_GROUP else SMALL_SUBSET_SIZE
    return [by_name[name] for name in ranked[:size]]
