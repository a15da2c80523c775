"""Metrics that are read from an instance's roles when /metrics is scraped.

Roles count in plain numbers, so that a grant or a message costs one addition and no
call of OpenTelemetry.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable, Sequence

from opentelemetry import metrics

from tealcove import clock, tasks
from tealcove.callermemory import budget
from tealcove.claims import writer
from tealcove.dispatch import requester, role
from tealcove.membership import members
from tealcove.peers import mesh
from tealcove.platform import store
from tealcove.resources import copy

Read = Callable[[], float]
ReadObservations = Callable[[], Iterable[metrics.Observation]]


class Gauges:
    """Adds the instruments of each role to a meter."""

    def __init__(self, meter: metrics.Meter) -> None:
        self.meter = meter

    def add_counter(
        self, name: str, description: str, read: Read, unit: str = ""
    ) -> None:
        """Add a monotonic counter that is read by callback."""
        self.meter.create_observable_counter(
            name, single_observation(read), unit, description
        )

    def add_gauge(self, name: str, description: str, read: ReadObservations) -> None:
        """Add a gauge whose observations are read by callback."""

        def observe(_: metrics.CallbackOptions) -> Iterable[metrics.Observation]:
            return read()

        self.meter.create_observable_gauge(name, [observe], "", description)

    def add_mesh(self, transport: mesh.Mesh) -> None:
        """Add the metrics of messages between instances."""
        self.add_counter(
            "tealcove.mesh.sent", "Messages sent to peers.", lambda: transport.sent
        )
        self.add_counter(
            "tealcove.mesh.sent_bytes",
            "Bytes of messages sent to peers.",
            lambda: transport.sent_bytes,
            "By",
        )
        self.add_counter(
            "tealcove.mesh.dropped",
            "Messages dropped since a peer's queue was full.",
            lambda: transport.dropped,
        )

    def add_restarts(self) -> None:
        """Add the number of restarts of background loops that failed."""
        self.add_counter(
            "tealcove.tasks.restarted",
            "Restarts of background loops that failed; the log has the causes.",
            lambda: tasks.RESTARTS.count,
        )

    def add_platform(self, platform: store.StoreClient) -> None:
        """Add the metrics of calls to the platform."""
        self.add_counter(
            "tealcove.platform.calls", "Calls to the platform.", lambda: platform.calls
        )
        self.add_counter(
            "tealcove.platform.failures",
            "Calls to the platform that got no usable reply.",
            lambda: platform.failures,
        )

    def add_members(self, known: members.Members) -> None:
        """Add the number of live instances, including this one."""

        def read() -> list[metrics.Observation]:
            alive = known.alive(clock.now())
            found = collections.Counter(one.lifecycle.value for one in alive)
            return [
                metrics.Observation(number, {"lifecycle": lifecycle})
                for lifecycle, number in found.items()
            ]

        self.add_gauge("tealcove.members", "Instances alive, by lifecycle.", read)

    def add_configuration(self, resources: copy.ConfigurationCopy) -> None:
        """Add the revision that is in force on this instance."""
        self.add_gauge(
            "tealcove.configuration.revision",
            "Revision of the resources in force on this instance.",
            lambda: [metrics.Observation(resources.current.revision)],
        )

    def add_dispatcher(self, dispatcher: role.Dispatcher) -> None:
        """Add the metrics of the cells that this instance holds."""

        def read(index: int) -> list[metrics.Observation]:
            return [
                metrics.Observation(held.scheduler.depth()[index], {"cell": cell})
                for cell, held in list(dispatcher.held.items())
            ]

        self.add_gauge(
            "tealcove.tickets.queued", "Tickets that wait, by cell.", lambda: read(0)
        )
        self.add_gauge(
            "tealcove.tickets.running",
            "Tickets that hold a slot, by cell.",
            lambda: read(1),
        )
        self.add_counter(
            "tealcove.grants", "Slots granted.", lambda: dispatcher.granted
        )
        self.add_counter(
            "tealcove.preemptions",
            "Running requests told to stop for a higher tier.",
            lambda: dispatcher.preempted,
        )

    def add_requester(self, tickets: requester.Requester) -> None:
        """Add the metrics of grants that this instance received."""
        self.add_counter(
            "tealcove.grants.declined",
            "Grants given back since their backend servers have left.",
            lambda: tickets.declined,
        )

    def add_caller_memory(self, memory: budget.Budget) -> None:
        """Add the metrics of what callers make this instance hold."""
        self.add_gauge(
            "tealcove.callers.held",
            "Bytes that callers make this instance hold, as counted for its limit.",
            lambda: [metrics.Observation(memory.used)],
        )
        self.add_counter(
            "tealcove.callers.refused",
            "Requests refused since callers make this instance hold too much.",
            lambda: memory.refused,
        )
        self.add_counter(
            "tealcove.callers.ended",
            "Slow requests and connections ended to hold less for callers.",
            lambda: memory.ended,
        )

    def add_claims(self, claims: writer.Writer) -> None:
        """Add the metrics of written claims; their quotient is the batch size."""
        self.add_counter(
            "tealcove.claims.committed",
            "Changes of claims committed.",
            lambda: claims.committed,
        )
        self.add_counter(
            "tealcove.claims.batches",
            "Transactions that committed claims.",
            lambda: claims.batches,
        )


def single_observation(
    read: Read,
) -> Sequence[Callable[[metrics.CallbackOptions], Iterable[metrics.Observation]]]:
    """Return the callbacks of an instrument with a single observation."""
    return [lambda _: [metrics.Observation(read())]]
