"""Limits of several instances, linked in memory, with a clock that tests control."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tealcove import clock, ids
from tealcove.limits import admission, central, limit, messages, role
from tealcove.membership import members
from tealcove.membership import messages as membership_messages
from tealcove.peers import endpoint, message

ACCOUNT = ids.AccountId("acme")
HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 0.25
# Seconds; longer than any test runs.
FAR_SECONDS = 1000.0
STEP = 0.05
# Tokens that are allowed beyond a limit in a window.
SLACK = 140_000.0


class Link:
    """A fake mesh that queues messages for delivery by the cluster."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        self.cluster = cluster
        self.number = number
        self.sent = 0

    def handle(self, message_type: type, handler: Callable) -> None:
        """Ignore the handler: the cluster calls the limits directly."""

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        """Queue a message for the next step."""
        self.sent += 1
        self.cluster.in_flight.append((self.number, peer.port, sent))
        return True


class Cluster:
    """Simulated instances by number, each with its own members and limits."""

    def __init__(self, count: int, found: limit.Limit | None) -> None:
        self.now = ids.Instant(1000.0)
        self.limit = found
        self.in_flight: list[tuple[int, int, message.Message]] = []
        self.dead: set[int] = set()
        # Pairs of instances that can't reach each other.
        self.cut: set[frozenset[int]] = set()
        self.spent = 0.0
        self.refused = 0
        self.members = [self.new_members(number) for number in range(count)]
        self.links = [Link(self, number) for number in range(count)]
        self.limits = [
            role.Limits(link, known, self.find_limit, self.now)
            for link, known in zip(self.links, self.members, strict=True)
        ]
        self.next_report = [self.now + 0.1 * number for number in range(count)]
        self.heartbeats_at = 0.0
        self.run(2 * role.home.SETTLE_SECONDS)

    def new_members(self, number: int) -> members.Members:
        """Return the members of an instance that knows only itself."""
        own = membership_messages.Heartbeat(
            instance=ids.InstanceId(f"i{number}"),
            incarnation=ids.Incarnation(f"inc-{number}"),
            lifecycle=membership_messages.Lifecycle.SERVING,
            data_centre=ids.DataCentreId("dc"),
            host=HOST,
            http_port=1,
            peer_host=HOST,
            peer_port=number,
            revision=ids.Revision(1),
        )
        return members.Members(own, suspect_after=1.0, forget_after=10.0)

    def find_limit(self, account: ids.AccountId) -> limit.Limit | None:
        """Return the limit of every account."""
        return self.limit

    def reaches(self, one: int, other: int) -> bool:
        """Return whether two instances can exchange messages."""
        living = not self.dead & {one, other}
        return living and frozenset((one, other)) not in self.cut

    def home(self) -> int:
        """Return the number of the account's home."""
        return int(self.limits[0].presence.home(ACCOUNT).removeprefix("i"))

    def run(
        self, seconds: float, load: Callable[[Cluster, float], None] | None = None
    ) -> None:
        """Advance the clock; call `load` at each step with the step's length."""
        end = self.now + seconds
        while self.now < end:
            self.now = ids.Instant(self.now + STEP)
            self.exchange_heartbeats()
            self.deliver()
            for number, limits in enumerate(self.limits):
                if number not in self.dead and self.now >= self.next_report[number]:
                    self.next_report[number] = self.now + role.REPORT_INTERVAL
                    limits.report_all(self.now)
            if load is not None:
                load(self, STEP)

    def exchange_heartbeats(self) -> None:
        """Deliver the heartbeats of all instances that can reach each other."""
        if self.now < self.heartbeats_at + HEARTBEAT_SECONDS:
            return
        self.heartbeats_at = self.now
        for number, known in enumerate(self.members):
            for other, peer in enumerate(self.members):
                if other != number and self.reaches(number, other):
                    known.record_heartbeat(peer.own, self.now)
            known.sweep(self.now)

    def deliver(self) -> None:
        """Deliver the queued messages."""
        in_flight, self.in_flight = self.in_flight, []
        for sender, receiver, sent in in_flight:
            if not self.reaches(sender, receiver):
                continue
            limits = self.limits[receiver]
            instance = ids.InstanceId(f"i{sender}")
            if isinstance(sent, role.messages.UsageReport):
                limits.handle_report(instance, sent, self.now)
            else:
                limits.handle_lending(instance, sent, self.now)

    def ask(self, number: int, tokens: float) -> admission.Charge | None:
        """Send a request to an entry, and count what is admitted or refused."""
        if number in self.dead:
            return None
        try:
            charge = self.limits[number].charge(ACCOUNT, tokens, self.now)
        except admission.OverLimitError:
            self.refused += 1
            return None
        self.spent += tokens
        return charge


class CentralLink:
    """A fake mesh between central limits that delivers messages at once."""

    def __init__(self, group: CentralGroup, number: int) -> None:
        self.group = group
        self.number = number
        self.sent: list[int] = []

    def handle(self, message_type: type, handler: Callable) -> None:
        """Ignore the handler: the group calls the limits directly."""

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        """Send a message; one to a dead instance is dropped without an error."""
        if peer.port in self.group.unconnected:
            return False
        self.sent.append(peer.port)
        if peer.port not in self.group.dead:
            self.deliver_later(peer.port, sent)
        return True

    def deliver_later(self, peer: int, sent: message.Message) -> None:
        """Deliver a message at the next turn of the event loop."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self.group.deliver, self.number, peer, sent)


class CentralGroup:
    """Instances with central limits, in real time."""

    def __init__(self, count: int, found: limit.Limit) -> None:
        cluster = Cluster(count, found)
        # Instances that are dead or have no connection, before any is suspected.
        self.dead: set[int] = set()
        self.unconnected: set[int] = set()
        self.links = [CentralLink(self, number) for number in range(count)]
        self.limits = [
            central.CentralLimits(link, known, cluster.find_limit, SLACK, cluster.now)
            for link, known in zip(self.links, cluster.members, strict=True)
        ]
        now = clock.now()
        for known in cluster.members:
            for member in known.peers.values():
                member.heard = ids.Instant(now + FAR_SECONDS)

    def ranked(self) -> list[int]:
        """Return the numbers of the account's home and its stand-ins, by rank."""
        presence = self.limits[0].presence
        presence.refresh(clock.now())
        return [int(name.removeprefix("i")) for name in presence.ranked(ACCOUNT)]

    def deliver(self, sender: int, receiver: int, sent: message.Message) -> None:
        """Deliver one message."""
        limits = self.limits[receiver]
        take = {
            messages.AskCharge: limits.handle_question,
            messages.Charged: limits.handle_answer,
            messages.GiveBack: limits.handle_refund,
        }[type(sent)]
        take(ids.InstanceId(f"i{sender}"), sent)


def uneven(rates: list[float], tokens: float) -> Callable[[Cluster, float], None]:
    """Return a load of equal requests, with a rate in tokens a second by entry."""
    owed = [0.0] * len(rates)

    def load(cluster: Cluster, seconds: float) -> None:
        for number, rate in enumerate(rates):
            owed[number] += rate * seconds
            while owed[number] >= tokens:
                owed[number] -= tokens
                cluster.ask(number, tokens)

    return load
