"""Detection of backend servers that are slower than expected.

It uses completed requests and running ones that exceed their predicted times, never
load reports: these lag, and those of a frozen server look normal.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import logbook

from tealcove import ids
from tealcove.dispatch import messages, servers, speeds

log = logbook.Logger("dispatch")

# Slowness factors from which a server gets less work, or only probes.
SLOW_FACTOR = 2.0
PROBE_FACTOR = 5.0
# A running request counts as late when it exceeds its predicted time by this factor
LATE_FACTOR = 1.5
# plus these seconds, since the times of short requests vary more.
LATE_GRACE = 0.5
# Seconds between probes; doubled after each probe, up to the longest.
PROBE_INTERVAL = 1.0
LONGEST_PROBE_INTERVAL = 30.0
# Total weight of all older observations against a probe's 1, so that two fast probes
# are enough to restore a server.
WEIGHT_BEFORE_PROBE = 0.25
# Factor by which each new observation reduces the weight of older ones, for a server's
# current speed and for its long-term one.
DECAY = 0.9
LONG_TERM_DECAY = 0.995
# A server without a generation that has fewer observations and has been idle for so
# many seconds counts as unknown again: its only completion may have been delayed by
# other load on the machine, and it would never be chosen again, however fast it is.
MIN_OBSERVATIONS = 3
RESET_AFTER_IDLE = 5.0
# Output tokens of the reference request by which speeds are compared.
SAMPLE_OUTPUT = 64


def observe_completion(
    server: servers.ServerState,
    running: servers.RunningTicket | None,
    done: messages.Done,
    now: ids.Instant,
) -> None:
    """Update a server's speeds from a completed request."""
    others = max(0, len(server.running) - 1)
    if running is not None:
        others = server.mean_others(running, now)
    is_probe = running is not None and running.is_probe
    if is_probe or server.pace is servers.Pace.PROBED:
        server.speed.prefill.limit_weight(WEIGHT_BEFORE_PROBE)
        server.speed.decode.limit_weight(WEIGHT_BEFORE_PROBE)
    server.learned_at = now
    if server.speed.observations == 0 and server.prior is not None:
        server.speed = speeds.with_prior(server.prior)
    for speed, decay in (
        (server.speed, DECAY),
        (server.long_term_speed, LONG_TERM_DECAY),
    ):
        speed.observe(
            done.prompt_tokens - done.cached_tokens,
            done.output_tokens,
            others,
            done.first_token_seconds,
            done.total_seconds,
            decay,
        )


def update_paces(all_servers: Iterable[servers.ServerState], now: ids.Instant) -> None:
    """Update prior, slowness and pace of all servers.

    Servers of a named generation are compared to its median; a server without a
    generation only to its own long-term speed, since it may differ by design.
    """
    known = list(all_servers)
    by_generation: dict[str, list[servers.ServerState]] = {}
    for server in known:
        by_generation.setdefault(server.spec.generation, []).append(server)
    for server in known:
        reset_unreliable(server, now)
    for generation, members in by_generation.items():
        reference = None
        if generation:
            reference = speeds.median(server.speed for server in members)
        for server in members:
            server.prior = reference
            server.slowness = measure_slowness(server, now)
            set_pace(server, now)
    relax_if_all_probed(known)


def reset_unreliable(server: servers.ServerState, now: ids.Instant) -> None:
    """Reset a speed that has too few observations, so that the server is tried again.

    Servers with a prior or with a reduced pace recover by other means.
    """
    recovers_otherwise = (
        server.prior is not None or server.pace is not servers.Pace.NORMAL
    )
    is_unreliable = 0 < server.speed.observations < MIN_OBSERVATIONS
    is_idle = server.is_empty() and now - server.learned_at > RESET_AFTER_IDLE
    if is_unreliable and is_idle and not recovers_otherwise:
        server.speed = speeds.default()


def relax_if_all_probed(known: list[servers.ServerState]) -> None:
    """Make all probed servers slow ones if the cell has no others.

    If all servers are late, they aren't stragglers: the load is high or the reports of
    ends are late, and granting only probes would refuse nearly all requests.
    """
    paces = {server.pace for server in known if server.is_usable}
    if paces != {servers.Pace.PROBED}:
        return
    for server in known:
        if server.pace is servers.Pace.PROBED:
            server.pace = servers.Pace.SLOW


def measure_slowness(server: servers.ServerState, now: ids.Instant) -> float:
    """Return a server's slowness, as a multiple of the expected time."""
    late = max((lateness(r, now) for r in server.running.values()), default=1.0)
    own = server.speed
    if own.observations == 0:
        return late
    # Compared at the mean of the observations: elsewhere, the fits differ by chance.
    uncached, others = own.prefill.mean(), own.decode.mean()
    expected = server.baseline.predict(uncached, SAMPLE_OUTPUT, others)
    seen = own.predict(uncached, SAMPLE_OUTPUT, others)
    return max(1.0, late, seen / max(1e-6, expected))


def lateness(running: servers.RunningTicket, now: ids.Instant) -> float:
    """Return a request's elapsed time as a multiple of the predicted one."""
    expected = running.expected_total
    if not running.has_first_token:
        expected = running.expected_first
    elapsed = now - running.started - LATE_GRACE
    if expected == math.inf or elapsed <= expected * LATE_FACTOR:
        return 1.0
    # A prediction near zero would turn any delay into a huge factor.
    return elapsed / max(expected, LATE_GRACE)


def set_pace(server: servers.ServerState, now: ids.Instant) -> None:
    """Set a server's pace by its slowness."""
    before = server.pace
    was_normal = before is servers.Pace.NORMAL
    if server.slowness >= PROBE_FACTOR:
        server.pace = servers.Pace.PROBED
    elif server.slowness >= SLOW_FACTOR:
        server.pace = servers.Pace.SLOW
    else:
        server.pace = servers.Pace.NORMAL
    if was_normal and server.pace is not servers.Pace.NORMAL:
        server.probe_interval = PROBE_INTERVAL
        server.probe_at = ids.Instant(now + PROBE_INTERVAL)
    if server.pace is not before:
        pace, slowness = server.pace.value, server.slowness
        log.info(
            "{} is {}: takes {:.1f} times as long as expected",
            server.name,
            pace,
            slowness,
        )


def schedule_next_probe(
    server: servers.ServerState, running: servers.RunningTicket, now: ids.Instant
) -> None:
    """Schedule the next probe, with a doubled interval each time."""
    running.is_probe = True
    server.probe_at = ids.Instant(now + server.probe_interval)
    doubled = 2 * server.probe_interval
    server.probe_interval = min(LONGEST_PROBE_INTERVAL, doubled)
