"""Tickets that wait for a slot, their order, and which of them would start too late.

Tiers of client accounts have strict priority. Within a tier, requests whose goal is
reachable go first, and among these the kind and length with the lowest service level,
see `shares`. With strict priority by urgency, a kind that holds a slot for a fifth of
the others' time would get next to nothing, and the most urgent one hardly more for it.
Requests whose goal is missed use the remaining slots, short and urgent ones first.
Requests that are forecast to start too late are refused at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from tealcove import ids
from tealcove.dispatch import (
    admission,
    backendview,
    inflow,
    messages,
    releases,
    shares,
    waitingticket,
)

# Seconds between a predicted end and its deadline that are reserved for network delays
# between instances and to the caller, and for the granularity of ticks.
MARGIN = 0.08
# Upper bound on the share of the slots that a forecast reserves for future arrivals:
# the estimates of speeds and arrivals are never exact enough to leave no slot at all.
MAX_ARRIVAL_SHARE = 0.9
# The score of a return that keeps its promised time, below any service level.
PROMISED_SCORE = -1.0
# Added to the service level of a ticket whose account is over its fair share, so that
# it goes after the others of its flow. It then has the level of the next less urgent
# kind that is served entirely: it yields to that one, but not to all kinds.
OVER_SHARE_OFFSET = 1.0 / (1.0 - shares.YIELDED_SHARE) - 1.0


class SortKey(msgspec.Struct, frozen=True, order=True):
    """A ticket's position in the line; compared field by field, lowest first."""

    tier: int
    # Streams that can go on at one version only go first: they can't wait elsewhere.
    is_unbound: bool
    is_late: bool
    # The flow's service level; for a late ticket, its account's excess.
    first: float
    # The account's excess; for a late ticket, its cost in slot time.
    second: float
    # The goal; for a late ticket, the latest start.
    at: float


class Forecast(msgspec.Struct, frozen=True):
    """The result of simulating the line with the predicted ends of running requests."""

    # Tickets that would start too late, in order, each with the seconds to its start.
    too_late: tuple[tuple[waitingticket.Waiting, float], ...]
    # Why they are refused.
    reason: messages.RefusalReason = messages.RefusalReason.OVERLOAD


def sort_key(
    waiting: waitingticket.Waiting,
    levels: Mapping[shares.Flow, float],
    is_bound: bool,
    now: ids.Instant,
    excess: float = 0.0,
) -> SortKey:
    """Return the sort key of a ticket; `is_bound`: only some servers may run it.

    `excess`: the account's use in relation to its fair share if it's over that, else 0.
    Accounts that are over are ordered by it: under overload, all large ones often are.

    Late tickets sort after those of their tier that can still meet their goal: under
    overload, ordering by deadline alone would make each ticket late in turn. Late
    tickets are sorted by cost, since more short ones can be served. Returns that keep
    their promised time go first in their tier; the plan of returns bounds their number.
    """
    flow = waiting.flow
    tier = flow.kind.tier
    if waiting.keeps_promise:
        return SortKey(tier, not is_bound, False, PROMISED_SCORE, 0.0, waiting.start_by)
    if waiting.is_late(now):
        cost = waiting.slot_seconds * (1 + flow.kind.urgency)
        return SortKey(tier, not is_bound, True, excess, cost, waiting.start_by)
    level = levels.get(flow, 0.0) + (OVER_SHARE_OFFSET if excess else 0.0)
    return SortKey(tier, not is_bound, False, level, excess, waiting.goal_at)


def forecast(
    line: Iterable[waitingticket.Waiting],
    servers: Iterable[backendview.BackendView],
    arriving: inflow.Inflow,
    now: ids.Instant,
    is_bound: bool = False,
    policy: admission.Admission = admission.BY_DEADLINE,
) -> Forecast:
    """Simulate the line, assigning to each ticket the slot that is released first.

    Accounts for future arrivals that go before a ticket: those of higher tiers, and for
    a ticket that is or will be late, those of its own tier as well. Without them a
    ticket would seem about to start until its deadline, and its caller would wait that
    long only to be refused.

    `is_bound`: the line consists of streams that only these servers may go on with.
    `policy` decides which tickets would start too late.
    """
    servers = list(servers)
    slots = releases.Releases(slot_releases(servers, now))
    if not slots:
        return forecast_without_servers(line, servers, now)
    pause = seconds_until_tried(servers, now)
    if pause > 0.0:
        return forecast_of_unreachable(line, pause, is_bound, now)
    count = len(slots)
    if not is_bound:
        policy.observe(count, arriving, now)
    too_late = []
    for waiting in line:
        entry = waiting.ticket.entry
        usable = slots.first(entry)
        release = usable.release
        tier = waiting.flow.kind.tier
        free_in = max(0.0, release.at - now)
        rest = max(0.0, usable.at - max(release.at, now))
        seconds = free_in / remaining_share(tier, arriving, count, now) + rest
        if waiting.misses_goal(seconds, now) and not waiting.keeps_promise:
            seconds = free_in / remaining_share(tier + 1, arriving, count, now) + rest
        late_share = 1.0 - arriving.load_above(tier + 1, now) / count
        is_too_late = policy.is_refused(waiting, seconds, late_share, now)
        # While all servers rest for one instance, another may serve the caller, so that
        # waiting beyond the goal gains nothing.
        if rest > 0.0 and not is_too_late:
            rest_of_all = seconds_until_wanted(servers, entry, now)
            is_too_late = rest_of_all > 0.0 and waiting.misses_goal(rest_of_all, now)
        if is_too_late:
            too_late.append((waiting, seconds))
            slots.pass_over(usable)
            continue
        length = release.server.slot_seconds(waiting.ticket, release.batch)
        slots.use(usable, max(usable.at, now) + length)
    return Forecast(tuple(too_late))


def seconds_until_wanted(
    servers: Iterable[backendview.BackendView], entry: ids.InstanceId, now: ids.Instant
) -> float:
    """Return the seconds until the first server wants requests from an entry again."""
    wanted_at = min(
        server.restrictions.rest_until(entry) for server in servers if server.is_serving
    )
    return max(0.0, wanted_at - now)


def seconds_until_tried(
    servers: Iterable[backendview.BackendView], now: ids.Instant
) -> float:
    """Return the seconds until a server gets a request again; 0 unless all pause."""
    tried_at = min(server.pause.until for server in servers if server.is_serving)
    return max(0.0, tried_at - now)


def forecast_of_unreachable(
    line: Iterable[waitingticket.Waiting],
    pause: float,
    is_bound: bool,
    now: ids.Instant,
) -> Forecast:
    """Return the tickets that shouldn't wait until a server is tried again.

    No instance reaches one, so waiting beyond the goal is likely to gain nothing. A
    stream that is refused is lost, though: its server, or one that takes its place,
    may be back before the caller leaves.
    """
    too_late = [
        (waiting, pause)
        for waiting in line
        if now + pause > waiting.start_by
        or (now + pause > waiting.latest_in_time() and not is_bound)
    ]
    return Forecast(tuple(too_late), messages.RefusalReason.NO_BACKEND_SERVER)


def forecast_without_servers(
    line: Iterable[waitingticket.Waiting],
    servers: list[backendview.BackendView],
    now: ids.Instant,
) -> Forecast:
    """Return the tickets that shouldn't wait for a server to come.

    A server that leaves by the list is usually replaced soon. One that leaves by its
    own answers alone means that the list is out of date: a new one wouldn't be seen.
    """
    if not any(server.is_leaving_unlisted for server in servers):
        overdue = [(waiting, 0.0) for waiting in line if now > waiting.start_by]
        return Forecast(tuple(overdue))
    too_late = [
        (waiting, waitingticket.NO_SERVER_SECONDS)
        for waiting in line
        if now > min(waiting.start_by, waiting.latest_in_time())
    ]
    return Forecast(tuple(too_late), messages.RefusalReason.NO_BACKEND_SERVER)


def forecast_of_lost_version(line: Iterable[waitingticket.Waiting]) -> Forecast:
    """Return all tickets: no server is left that may go on with their streams."""
    too_late = tuple((waiting, waitingticket.NO_SERVER_SECONDS) for waiting in line)
    return Forecast(too_late, messages.RefusalReason.NO_BACKEND_SERVER)


def remaining_share(
    tier: int, arriving: inflow.Inflow, slots: int, now: ids.Instant
) -> float:
    """Return the share of the slots that arrivals of lower tier numbers leave."""
    return 1.0 - min(MAX_ARRIVAL_SHARE, arriving.load_above(tier, now) / slots)


def slot_releases(
    servers: Iterable[backendview.BackendView], now: ids.Instant
) -> list[releases.Release]:
    """Return each slot's predicted release, with a number that breaks ties."""
    found: list[releases.Release] = []
    for server in servers:
        if not server.is_serving:
            continue
        slots = server.open_slots(now)
        free = max(0, slots - len(server.runs))
        start = max(now, server.tried_at)
        # A free slot adds a request; one that is released later replaces one.
        others = len(server.runs) + server.load.occupied(now)
        full = others + free
        ends = server.load.ends(server.runs.values(), full, now)
        ends.sort()
        ends = [start] * free + ends[:slots]
        for place, at in enumerate(ends):
            available_at = server.slot_available_at(place, at, now)
            batch = min(full, others + place + 1)
            release = releases.Release(available_at, len(found), server, batch, full)
            found.append(release)
    return found
