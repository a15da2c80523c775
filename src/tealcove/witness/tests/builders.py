"""Instances with witnesses whose messages are delivered at once, or never."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tealcove import ids
from tealcove.membership import members
from tealcove.membership import messages as membership_messages
from tealcove.peers import endpoint, message
from tealcove.witness import messages, role

# Heartbeats never time out, since an overloaded machine would cause false timeouts.
NEVER = 1e9
TIMEOUT = 0.02


class Link:
    """A fake `mesh.Mesh` of one instance."""

    def __init__(self, number: int, links: dict[int, Link]) -> None:
        self.number = number
        self.links = links
        self.handlers: dict[type[message.Message], Callable] = {}
        links[number] = self

    def handle(self, message_type: type[message.Message], handler: Callable) -> None:
        self.handlers[message_type] = handler

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        """Deliver a message soon, unless the receiver has died meanwhile."""
        asyncio.get_running_loop().call_soon(self.deliver, peer.port, sent)
        return True

    def deliver(self, port: int, sent: message.Message) -> None:
        if port in self.links:
            self.links[port].handlers[type(sent)](name(self.number), sent)


class Cluster:
    """Witnesses by number."""

    def __init__(self, count: int) -> None:
        self.links: dict[int, Link] = {}
        self.witnesses = [self.new_witness(number) for number in range(count)]
        for one in self.witnesses:
            for other in self.witnesses:
                one.members.record_heartbeat(other.members.own, ids.Instant(0.0))

    def new_witness(self, number: int) -> role.Witness:
        own = membership_messages.Heartbeat(
            instance=name(number),
            incarnation=ids.Incarnation(f"first-{number}"),
            lifecycle=membership_messages.Lifecycle.SERVING,
            data_centre=ids.DataCentreId("dc"),
            host="127.0.0.1",
            http_port=1,
            peer_host="127.0.0.1",
            peer_port=number,
            revision=ids.Revision(1),
        )
        known = members.Members(own, NEVER, NEVER)
        found = role.Witness(Link(number, self.links), known, TIMEOUT)
        found.start()
        return found

    def kill(self, number: int) -> None:
        """Kill an instance; the others don't detect it yet."""
        del self.links[number]

    async def store(self, number: int, key: str = "k") -> messages.Record:
        """Store the record of an entry's request, and wait until it has arrived."""
        found = record(number, key)
        self.witnesses[number].store(request_key(key), found, 60.0, ids.Instant(0.0))
        await asyncio.sleep(0)
        return found


def name(number: int) -> ids.InstanceId:
    return ids.InstanceId(f"i-{number}")


def request_key(key: str = "k") -> messages.RequestKey:
    return messages.RequestKey(ids.AccountId("a"), ids.IdempotencyKey(key))


def record(number: int = 0, key: str = "k") -> messages.Record:
    return messages.Record(
        fingerprint="f",
        request_id=ids.RequestId(f"req-{number}-{key}"),
        ticket_id=ids.TicketId(f"tkt-{number}-{key}"),
        cell=ids.CellId("engines/0"),
        server=ids.BackendServerId("s"),
        host="127.0.0.1",
        port=9000,
        entry=name(number),
        incarnation=ids.Incarnation(f"first-{number}"),
    )
