"""Draining of engines while a steward changes them."""

from __future__ import annotations

import itertools

import msgspec

from tealcove import ids
from tealcove.dispatch import holds
from tealcove.membership import members
from tealcove.orders import desired
from tealcove.peers import mesh

# Seconds after which a hold expires unless it's repeated. It survives two lost
# repeats, and the hold of a dead steward keeps an engine idle no longer than this.
HOLD_SECONDS = 3.0
# Number of dispatchers that get the holds: the cell's own and its successor.
DISPATCHERS = 2


class ReceivedReport(msgspec.Struct, frozen=True):
    """A dispatcher's last report and when it was received."""

    report: holds.HoldReport
    at: ids.Instant


class Drain(msgspec.Struct):
    """One engine that is held, or whose release isn't confirmed by all yet."""

    target: desired.DesiredServer
    is_holding: bool
    # When the hold or the release began.
    since: ids.Instant
    # Identifies this hold or release; reports on earlier ones are ignored.
    sequence: int
    received: dict[ids.InstanceId, ReceivedReport] = {}


class Drains:
    """Send holds to the dispatchers of engines' cells and record their reports."""

    def __init__(self, transport: mesh.Mesh, known: members.Members) -> None:
        self.transport = transport
        self.members = known
        self.by_server: dict[ids.BackendServerId, Drain] = {}
        self.sequence = itertools.count()
        self.number = ids.FencingNumber(0)

    @property
    def held(self) -> frozenset[ids.BackendServerId]:
        """Engines that are held by a dispatcher, or may be."""
        return frozenset(self.by_server)

    def begin(self, target: desired.DesiredServer, now: ids.Instant) -> None:
        """Start holding an engine back from new work."""
        known = self.by_server.get(target.server.name)
        if known is None or not known.is_holding:
            self.by_server[target.server.name] = Drain(
                target, True, now, next(self.sequence)
            )
        self.send_all(now)

    def release(self, server: ids.BackendServerId, now: ids.Instant) -> None:
        """Release an engine for new work."""
        known = self.by_server.get(server)
        if known is not None and known.is_holding:
            self.by_server[server] = Drain(
                known.target, False, now, next(self.sequence)
            )
            self.send_all(now)

    def release_all(self, now: ids.Instant) -> None:
        """Release all engines for new work."""
        for server in list(self.by_server):
            self.release(server, now)

    def send_all(self, now: ids.Instant) -> None:
        """Repeat all holds and releases; drop the releases that are complete."""
        for server, drain in list(self.by_server.items()):
            if not drain.is_holding and self.is_released(drain, now):
                del self.by_server[server]
                continue
            for instance in self.dispatchers(drain, now):
                self.send(instance, drain)

    def send(self, instance: ids.InstanceId, drain: Drain) -> None:
        """Send a hold or release to one dispatcher."""
        peer = self.members.endpoint_of(instance)
        if peer is None:
            return
        server = drain.target.server
        hold = holds.Hold(
            cell=drain.target.cell.cell_id,
            server=server.name,
            host=server.host,
            port=server.port,
            number=self.number,
            sequence=drain.sequence,
            seconds=HOLD_SECONDS if drain.is_holding else 0.0,
        )
        self.transport.send(peer, hold)

    def dispatchers(self, drain: Drain, now: ids.Instant) -> list[ids.InstanceId]:
        """Return the instances that may dispatch work to the engine."""
        cell = drain.target.cell
        return self.members.rank(cell.cell_id, now, cell.data_centre)[:DISPATCHERS]

    def record_report(
        self, sender: ids.InstanceId, report: holds.HoldReport, now: ids.Instant
    ) -> None:
        """Record a dispatcher's report."""
        drain = self.by_server.get(report.server)
        if drain is None or drain.target.cell.cell_id != report.cell:
            return
        if report.sequence == drain.sequence:
            drain.received[sender] = ReceivedReport(report, now)

    def is_released(self, drain: Drain, now: ids.Instant) -> bool:
        """Tell whether all dispatchers have released an engine.

        Once the last hold has expired, no report is needed.
        """
        if now - drain.since > HOLD_SECONDS:
            return True
        reports = self.reports(drain, now)
        return all(found is not None and not found.is_held for found in reports)

    def is_granted_nothing(self, server: ids.BackendServerId, now: ids.Instant) -> bool:
        """Tell whether no dispatcher has work on an engine or sends it any."""
        drain = self.by_server.get(server)
        if drain is None or not drain.is_holding:
            return False
        reports = self.reports(drain, now)
        return bool(reports) and all(
            found is not None
            and found.is_held
            and not found.is_gathering
            and found.running == 0
            for found in reports
        )

    def reports(self, drain: Drain, now: ids.Instant) -> list[holds.HoldReport | None]:
        """Return each dispatcher's recent report, or None where there is none."""
        answers = [drain.received.get(name) for name in self.dispatchers(drain, now)]
        return [
            answer.report
            if answer is not None and now - answer.at <= HOLD_SECONDS
            else None
            for answer in answers
        ]
