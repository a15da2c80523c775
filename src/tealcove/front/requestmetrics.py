"""The metrics of requests: refused, relayed, and counted by account."""

from __future__ import annotations

from collections.abc import Callable

from tealcove import tasks
from tealcove.accounts import tallies
from tealcove.admission import counts
from tealcove.dispatch import requester
from tealcove.front import metrics
from tealcove.origins import role as origins
from tealcove.quarantine import role as quarantine_role
from tealcove.relay import link as relaying
from tealcove.relay import server as relay_server


def add_refusals(
    registry: metrics.Registry,
    quarantine: quarantine_role.Quarantine,
    found: origins.OriginFinder,
    lost_versions: Callable[[], int],
) -> None:
    """Register the counters of requests that can't be run safely."""
    registry.add_observable_counter(
        "tealcove.requests.quarantined",
        "Requests refused to callers since they crash backend servers.",
        lambda: quarantine.refused,
    )
    registry.add_observable_counter(
        "tealcove.streams.version_unknown",
        "Streams refused to callers since nobody knew their software version.",
        lambda: found.counts[origins.Source.UNKNOWN],
    )
    registry.add_observable_counter(
        "tealcove.streams.version_gone",
        "Streams refused to callers since no server of their version is left.",
        lost_versions,
    )


def add_grants(registry: metrics.Registry, tickets: requester.Requester) -> None:
    """Register the counter of grants that weren't used."""
    registry.add_observable_counter(
        "tealcove.grants.declined",
        "Grants given back since their backend servers have left.",
        lambda: tickets.declined,
    )


def add_admission(registry: metrics.Registry, counted: counts.Counts) -> None:
    """Register the counters of refusals under overload."""
    registry.add_observable_counter(
        "tealcove.requests.refused_at_once",
        "Requests refused since they would have missed their goal.",
        lambda: counted.refused_at_once,
    )
    registry.add_observable_counter(
        "tealcove.returns.promised",
        "Refusals with slot time reserved for the caller's return.",
        lambda: counted.promised,
    )
    registry.add_observable_counter(
        "tealcove.returns.kept",
        "Requests that returned at the time that was promised.",
        lambda: counted.kept,
    )
    registry.add_observable_counter(
        "tealcove.requests.refused_locally",
        "Requests refused on arrival, as their dispatcher refuses all like them.",
        lambda: counted.refused_locally,
    )


def add_relays(
    registry: metrics.Registry,
    paths: relaying.PathFinder,
    relay: relay_server.RelayServer,
) -> None:
    """Register the counters of requests that are sent through other instances."""
    registry.add_observable_counter(
        "tealcove.requests.relayed",
        "Requests sent to their backend servers through other instances.",
        lambda: paths.relayed,
    )
    registry.add_observable_counter(
        "tealcove.requests.helped",
        "Requests sent to backend servers for other instances.",
        lambda: relay.helped,
    )


def add_restarts(registry: metrics.Registry) -> None:
    """Register the counter of this process's loops that failed."""
    registry.add_observable_counter(
        "tealcove.tasks.restarted",
        "Restarts of background loops that failed; the log has the causes.",
        lambda: tasks.RESTARTS.count,
    )


def add_accounts(registry: metrics.Registry, counted: tallies.Tallies) -> None:
    """Register the counts of requests by account."""
    registry.labelled_counters.append(
        metrics.ObservableCounters(
            "tealcove.accounts.requests",
            "Requests by account, kind, how they ended, and why.",
            counted.count_samples,
        )
    )
    registry.labelled_histograms.append(
        metrics.ObservableHistograms(
            "tealcove.accounts.waited",
            "From a request's arrival until it was granted a slot.",
            counted.wait_samples,
        )
    )
