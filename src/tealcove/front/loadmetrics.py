"""The metrics of this instance's load."""

from __future__ import annotations

from tealcove.callermemory import budget
from tealcove.dispatch import budgets
from tealcove.front import addresses, metrics
from tealcove.ingress import streamcopy
from tealcove.instances import role


def add(registry: metrics.Registry, load: role.InstanceLoad) -> None:
    """Register the load's gauges and counters."""
    for name in ("delay", "memory", "descriptors", "link"):
        registry.add_observable_gauge(
            f"tealcove.load.{name}",
            f"Used fraction of what the machine has: {name}.",
            lambda name=name: getattr(load.load, name),
        )
    registry.add_observable_gauge(
        "tealcove.load.headroom",
        "Part of this instance's capacity that callers are told of, in hundredths.",
        lambda: load.headroom.value,
    )
    registry.add_observable_counter(
        "tealcove.requests.instance_overloaded",
        "Requests refused to callers since this instance is overloaded.",
        lambda: load.protection.refused,
    )
    registry.add_observable_counter(
        "tealcove.load.refusing",
        "Seconds in which this instance refused new requests and was left out.",
        lambda: load.refusing_seconds,
    )
    registry.add_observable_counter(
        "tealcove.answers.unread",
        "Connections ended since their callers didn't read while memory was scarce.",
        lambda: load.answers.ended,
    )


def add_caller_memory(registry: metrics.Registry, memory: budget.Budget) -> None:
    """Register what callers make this instance hold."""
    registry.add_observable_gauge(
        "tealcove.callers.held",
        "Bytes that callers make this instance hold, as counted for its limit.",
        lambda: memory.used,
    )
    registry.add_observable_counter(
        "tealcove.callers.refused",
        "Requests refused since callers make this instance hold too much.",
        lambda: memory.refused,
    )
    registry.add_observable_counter(
        "tealcove.callers.ended",
        "Slow requests and connections ended to hold less for callers.",
        lambda: memory.ended,
    )


def add_directory(registry: metrics.Registry, given: addresses.MemberAddresses) -> None:
    """Register the counter of answers without enough instances."""
    registry.add_observable_counter(
        "tealcove.directory.without_room",
        "Answers with instances that refuse, since too few others have room.",
        lambda: given.without_room,
    )


def add_crossings(registry: metrics.Registry, spent: budgets.Budgets) -> None:
    """Register the counters of requests to servers in other data centres."""
    registry.add_observable_counter(
        "tealcove.crossings",
        "Grants of servers in another data centre than the entry's.",
        lambda: spent.crossings,
    )
    registry.add_observable_gauge(
        "tealcove.crossings.share",
        "Least part of a budget of bytes that this dispatcher has.",
        lambda: spent.least_share,
    )
    registry.add_observable_counter(
        "tealcove.crossings.beyond_budget",
        "Grants of such servers beyond the budget of bytes.",
        lambda: spent.beyond,
    )
    registry.add_observable_counter(
        "tealcove.crossings.bytes",
        "Estimated bytes of requests and responses between data centres.",
        lambda: spent.bytes,
    )


def add_copies(registry: metrics.Registry, copying: streamcopy.Copying) -> None:
    """Register the counters of streams with a copy, if this instance asks for any."""
    if not copying.is_enabled:
        return
    registry.add_observable_counter(
        "tealcove.streams.copied",
        "Streams sent to a backend server that copies them to another one.",
        lambda: copying.copied,
    )
    registry.add_observable_counter(
        "tealcove.streams.continued",
        "Streams that went on from their copy after a crash.",
        lambda: copying.continued,
    )
    registry.add_observable_counter(
        "tealcove.streams.copy_lost",
        "Streams that were lost with their server though a copy was started.",
        lambda: copying.lost,
    )
