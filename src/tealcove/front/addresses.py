"""The addresses that callers are given, and whether this instance is ready."""

from __future__ import annotations

import logbook

from tealcove import clock, ids
from tealcove.front import sharednumbers
from tealcove.instances import capacity
from tealcove.membership import addresses, members, messages, ranking

log = logbook.Logger("front")

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
# Seconds between two log lines on answers with instances that refuse requests.
LOG_INTERVAL = 10.0


class MemberAddresses(addresses.AddressSource):
    """Finds addresses and readiness in the membership."""

    def __init__(self, known: members.Members, uses_weights: bool = False) -> None:
        self.members = known
        # Whether each caller gets a subset by capacity and headroom, not all addresses.
        self.uses_weights = uses_weights
        self.shared = sharednumbers.SharedNumbers()
        # Answers that contain instances that refuse requests, for the metrics.
        self.without_room = 0
        self.next_log = ids.Instant(0.0)

    def addresses(self, data_centre: ids.DataCentreId, caller: str = "") -> list[str]:
        """See AddressSource."""
        now = clock.now()
        serving = self.members.serving(now)
        chosen = near(serving, data_centre)
        if self.uses_weights:
            key = self.shared.key(caller, now)
            chosen = with_room(key, chosen, serving)
            self.record_answer(data_centre, chosen, now)
        return [f"{h.host}:{h.http_port}" for h in chosen[:MAX_ADDRESSES]]

    def record_answer(
        self,
        data_centre: ids.DataCentreId,
        chosen: list[messages.Heartbeat],
        now: ids.Instant,
    ) -> None:
        """Count and log an answer for which too few instances have room."""
        if all(capacity.has_room(one) for one in chosen):
            return
        self.without_room += 1
        if now < self.next_log:
            return
        self.next_log = ids.Instant(now + LOG_INTERVAL)
        log.warning(
            "callers in {} are given {}, of which {} refuse: too few instances have "
            "room; add instances or raise their machine settings",
            data_centre or "no data centre",
            ", ".join(one.instance for one in chosen),
            sum(not capacity.has_room(one) for one in chosen),
        )

    def is_ready(self) -> bool:
        """Return whether this instance is serving."""
        return self.members.own.lifecycle is messages.Lifecycle.SERVING


def near(
    serving: list[messages.Heartbeat], data_centre: ids.DataCentreId
) -> list[messages.Heartbeat]:
    """Return the instances of a data centre, or all if it has too few."""
    local = [h for h in serving if h.data_centre == data_centre]
    return local if len(local) >= ENOUGH_LOCAL else serving


def with_room(
    caller: str,
    group: list[messages.Heartbeat],
    serving: list[messages.Heartbeat],
) -> list[messages.Heartbeat]:
    """Return a caller's subset of a group, without instances that refuse requests.

    If fewer than ENOUGH_LOCAL of the group have room, others of all that serve are
    added. An instance that refuses is given only if there aren't enough others, and
    beside them if all of the group refuse: it may have room again soon.
    """
    size = subset_size(len(group))
    found = subset(caller, [one for one in group if capacity.has_room(one)], size)
    if len(found) >= ENOUGH_LOCAL:
        return found
    names = {one.instance for one in group}
    others = subset(
        caller,
        [
            one
            for one in serving
            if capacity.has_room(one) and one.instance not in names
        ],
        ENOUGH_LOCAL,
    )
    refusing = subset(
        caller, [one for one in group if not capacity.has_room(one)], size
    )
    if found:
        return [*found, *others, *refusing][:ENOUGH_LOCAL]
    return [*others, *refusing[:1]] if others else refusing


def subset(
    caller: str, instances: list[messages.Heartbeat], size: int | None = None
) -> list[messages.Heartbeat]:
    """Return a caller's subset, which is stable and follows the weights."""
    by_name = {heartbeat.instance: heartbeat for heartbeat in instances}
    weights = {name: capacity.weight(found) for name, found in by_name.items()}
    ranked = ranking.rank_by_weight(caller, weights)
    if size is None:
        size = subset_size(len(ranked))
    return [by_name[name] for name in ranked[:size]]


def subset_size(count: int) -> int:
    """Return how many addresses a caller is given in a group of instances."""
    return SUBSET_SIZE if count >= LARGE_GROUP else SMALL_SUBSET_SIZE
