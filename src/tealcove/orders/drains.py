"""Engines that are kept from new work while a steward changes them."""

from __future__ import annotations

import itertools

import msgspec

from tealcove import ids
from tealcove.dispatch import holds
from tealcove.membership import members
from tealcove.orders import desired
from tealcove.peers import mesh

# A hold ends by itself after so many seconds without a repeat. It outlasts two
# lost repeats, and a steward that has died keeps an engine idle no longer.
HOLD_SECONDS = 3.0
# Dispatchers that are told: the one of the cell, and who would be its successor.
DISPATCHERS = 2


class ReceivedReport(msgspec.Struct, frozen=True):
    """A dispatcher's last report, and when it came."""

    report: holds.HoldReport
    at: ids.Instant


class Drain(msgspec.Struct):
    """One engine that is held, or was and isn't taken back by all yet."""

    target: desired.DesiredServer
    is_holding: bool
    # When it began, or when its release did.
    since: ids.Instant
    # Reports on an earlier hold of the same engine don't count.
    sequence: int
    received: dict[ids.InstanceId, ReceivedReport] = {}


class Drains:
    """Tells the dispatchers of the engines' cells, and hears what still runs."""

    def __init__(self, transport: mesh.Mesh, known: members.Members) -> None:
        self.transport = transport
        self.members = known
        self.by_server: dict[ids.BackendServerId, Drain] = {}
        self.sequence = itertools.count()
        self.number = ids.FencingNumber(0)

    @property
    def held(self) -> frozenset[ids.BackendServerId]:
        """The engines that don't get work from every dispatcher."""
        return frozenset(self.by_server)

    def begin(self, target: desired.DesiredServer, now: ids.Instant) -> None:
        """Keep an engine from new work from now on."""
        known = self.by_server.get(target.server.name)
        if known is None or not known.is_holding:
            self.by_server[target.server.name] = Drain(
                target, True, now, next(self.sequence)
            )
        self.send_all(now)

    def release(self, server: ids.BackendServerId, now: ids.Instant) -> None:
        """Let an engine have work again."""
        known = self.by_server.get(server)
        if known is not None and known.is_holding:
            self.by_server[server] = Drain(
                known.target, False, now, next(self.sequence)
            )
            self.send_all(now)

    def release_all(self, now: ids.Instant) -> None:
        """Let all engines have work again."""
        for server in list(self.by_server):
            self.release(server, now)

    def send_all(self, now: ids.Instant) -> None:
        """Repeat all holds and releases, and forget the releases that are over."""
        for server, drain in list(self.by_server.items()):
            if not drain.is_holding and self.is_released(drain, now):
                del self.by_server[server]
                continue
            for instance in self.dispatchers(drain, now):
                self.send(instance, drain)

    def send(self, instance: ids.InstanceId, drain: Drain) -> None:
        """Tell one dispatcher."""
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
        """Return the instances that may give the engine work."""
        cell = drain.target.cell
        return self.members.rank(cell.cell_id, now, cell.data_centre)[:DISPATCHERS]

    def record_report(
        self, sender: ids.InstanceId, report: holds.HoldReport, now: ids.Instant
    ) -> None:
        """Take in a dispatcher's report."""
        drain = self.by_server.get(report.server)
        if drain is None or drain.target.cell.cell_id != report.cell:
            return
        if report.sequence == drain.sequence:
            drain.received[sender] = ReceivedReport(report, now)

    def is_released(self, drain: Drain, now: ids.Instant) -> bool:
        """Tell whether all dispatchers give an engine work again.

        Once the last hold has ended by itself, no answer is needed.
        """
        if now - drain.since > HOLD_SECONDS:
            return True
        reports = self.reports(drain, now)
        return all(found is not None and not found.is_held for found in reports)

    def is_granted_nothing(self, server: ids.BackendServerId, now: ids.Instant) -> bool:
        """Tell whether no dispatcher has work on an engine, or gives it any."""
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
        """Return the fresh reports of those that are told; None: there's none."""
        answers = [drain.received.get(name) for name in self.dispatchers(drain, now)]
        return [
            answer.report
            if answer is not None and now - answer.at <= HOLD_SECONDS
            else None
            for answer in answers
        ]
