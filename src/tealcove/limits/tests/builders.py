"""Instances' limits, linked in memory, under a clock that tests move."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tealcove import clock, ids
from tealcove.limits import admission, asking, limit, messages, role
from tealcove.membership import members
from tealcove.membership import messages as membership_messages
from tealcove.peers import endpoint, message

ACCOUNT = ids.AccountId("acme")
HOST = "127.0.0.1"
BEAT = 0.25
# Seconds, longer than any test.
FAR = 1000.0
STEP = 0.05
# Tokens beyond a limit that are allowed in a window, as for the limits of these tests.
SLACK = 140_000.0


class Link:
    """Stands in for a mesh: hands messages over unless they are cut off."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        self.cluster = cluster
        self.number = number
        self.sent = 0

    def handle(self, message_type: type, handler: Callable) -> None:
        """Take no handlers: the cluster knows them."""

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        """Hand a message over at the next step."""
        self.sent += 1
        self.cluster.under_way.append((self.number, peer.port, sent))
        return True


class Cluster:
    """Instances by number, each with members and limits of its own."""

    def __init__(self, count: int, found: limit.Limit | None) -> None:
        self.now = ids.Instant(1000.0)
        self.limit = found
        self.under_way: list[tuple[int, int, message.Message]] = []
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
        self.reported = [self.now + 0.1 * number for number in range(count)]
        self.beaten = 0.0
        self.run(2 * role.home.SETTLE_SECONDS)

    def new_members(self, number: int) -> members.Members:
        """Return the membership of an instance, which knows itself only."""
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
        """Tell whether messages pass between two instances."""
        living = not self.dead & {one, other}
        return living and frozenset((one, other)) not in self.cut

    def home(self) -> int:
        """Return the number of the account's home."""
        return int(self.limits[0].presence.home(ACCOUNT).removeprefix("i"))

    def run(
        self, seconds: float, load: Callable[[Cluster, float], None] | None = None
    ) -> None:
        """Let time pass; `load` is called at each step with its length."""
        end = self.now + seconds
        while self.now < end:
            self.now = ids.Instant(self.now + STEP)
            self.beat()
            self.deliver()
            for number, limits in enumerate(self.limits):
                if number not in self.dead and self.now >= self.reported[number]:
                    self.reported[number] = self.now + role.REPORT_INTERVAL
                    limits.report_all(self.now)
            if load is not None:
                load(self, STEP)

    def beat(self) -> None:
        """Let all hear all that they can reach."""
        if self.now < self.beaten + BEAT:
            return
        self.beaten = self.now
        for number, known in enumerate(self.members):
            for other, peer in enumerate(self.members):
                if other != number and self.reaches(number, other):
                    known.record_heartbeat(peer.own, self.now)
            known.sweep(self.now)

    def deliver(self) -> None:
        """Hand over the messages that were under way."""
        under_way, self.under_way = self.under_way, []
        for sender, taker, sent in under_way:
            if not self.reaches(sender, taker):
                continue
            limits = self.limits[taker]
            instance = ids.InstanceId(f"i{sender}")
            if isinstance(sent, role.messages.UsageReport):
                limits.take_report(instance, sent, self.now)
            else:
                limits.take_lending(instance, sent, self.now)

    def ask(self, number: int, tokens: float) -> admission.Charge | None:
        """Send a request to an entry; count what is admitted."""
        if number in self.dead:
            return None
        try:
            charge = self.limits[number].charge(ACCOUNT, tokens, self.now)
        except admission.OverLimitError:
            self.refused += 1
            return None
        self.spent += tokens
        return charge


class AskingLink:
    """Stands in for a mesh between limits that ask: hands messages over at once."""

    def __init__(self, group: AskingGroup, number: int) -> None:
        self.group = group
        self.number = number
        self.sent: list[int] = []

    def handle(self, message_type: type, handler: Callable) -> None:
        """Take no handlers: the group knows them."""

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        """Hand a message over; what is sent to the dead is lost without a word."""
        if peer.port in self.group.unconnected:
            return False
        self.sent.append(peer.port)
        if peer.port not in self.group.dead:
            self.hand_over(peer.port, sent)
        return True

    def hand_over(self, peer: int, sent: message.Message) -> None:
        """Hand a message over at the next turn."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self.group.deliver, self.number, peer, sent)


class AskingGroup:
    """Instances whose limits ask each other, in real time."""

    def __init__(self, count: int, found: limit.Limit) -> None:
        cluster = Cluster(count, found)
        # Nobody has noticed yet that these are dead, or have no connection.
        self.dead: set[int] = set()
        self.unconnected: set[int] = set()
        self.links = [AskingLink(self, number) for number in range(count)]
        self.limits = [
            asking.AskingLimits(link, known, cluster.find_limit, SLACK, cluster.now)
            for link, known in zip(self.links, cluster.members, strict=True)
        ]
        now = clock.now()
        for known in cluster.members:
            for member in known.peers.values():
                member.heard = ids.Instant(now + FAR)

    def ranked(self) -> list[int]:
        """Return the numbers of the account's home and its stand-ins, in order."""
        presence = self.limits[0].presence
        presence.follow(clock.now())
        return [int(name.removeprefix("i")) for name in presence.ranked(ACCOUNT)]

    def deliver(self, sender: int, taker: int, sent: message.Message) -> None:
        """Hand over one message."""
        limits = self.limits[taker]
        take = {
            messages.AskCharge: limits.take_question,
            messages.Charged: limits.take_answer,
            messages.GiveBack: limits.take_back,
        }[type(sent)]
        take(ids.InstanceId(f"i{sender}"), sent)


def uneven(rates: list[float], tokens: float) -> Callable[[Cluster, float], None]:
    """Return a load of requests of a size, in tokens a second by entry."""
    owed = [0.0] * len(rates)

    def load(cluster: Cluster, seconds: float) -> None:
        for number, rate in enumerate(rates):
            owed[number] += rate * seconds
            while owed[number] >= tokens:
                owed[number] -= tokens
                cluster.ask(number, tokens)

    return load
