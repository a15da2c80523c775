"""The ZeroMQ sockets of an instance: one to listen, one to each peer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

import logbook
import zmq
import zmq.asyncio

from tealcove import errors, ids
from tealcove.peers import endpoint, message, security

log = logbook.Logger("peers")

# Messages that wait for one connected peer at the most. Beyond it they are dropped,
# as a network would: every sender here repeats what matters, and a queue without a
# bound would grow for as long as a peer is frozen.
HIGH_WATER_MARK = 1000
# A connection may fall silent without being closed, so that what is sent on it is
# lost and no reconnection ever begins: heartbeats would stop for good in one
# direction. Milliseconds that sent bytes may stay unacknowledged until the connection
# is closed and made anew, twice the longest pause between heartbeats of a small
# group. The kernel watches this for nothing; ZeroMQ's own probes, sent by both ends of
# each connection every 0.7 s, were four times as many as the heartbeats at 63
# instances.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
# Where the mesh is told so, a message to a peer without a connection yet waits for it:
# in a large group the first one to most peers is a caller's request. Seconds for which
# it waits, as long as callers wait for an event; seconds between two looks; and how
# many messages wait at the most.
PENDING_SECONDS = 0.5
PENDING_RETRY_SECONDS = 0.005
MAX_PENDING = 100
# Messages taken in one go before other tasks get their turn.
RECEIVE_BATCH = 200

M = TypeVar("M", bound=message.Message)
Handler = Callable[[ids.InstanceId, M], None]


class Mesh:
    """Sends messages to peers and hands received ones to their handlers."""

    def __init__(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        listen: endpoint.Endpoint,
        secured: security.Security | None = None,
    ) -> None:
        self.instance = instance
        self.identity = f"{instance}|{incarnation}".encode()
        self.listen = listen
        self.security = secured
        self.codec = message.Codec()
        self.handlers: dict[type[message.Message], Handler] = {}
        self.links: dict[endpoint.Endpoint, zmq.Socket] = {}
        # Whether the first messages to a peer wait for its connection.
        self.queues_first_messages = False
        # What waits for the first connection of each link that has none yet.
        self.pending: dict[endpoint.Endpoint, list[bytes]] = {}
        self.context = zmq.asyncio.Context()
        self.plain_context = zmq.Context.shadow(self.context.underlying)
        self.router: zmq.Socket | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.dropped = 0
        self.sent = 0
        self.sent_bytes = 0

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Name the function that gets each received message of a type."""
        self.codec.register(message_type)
        self.handlers[message_type] = handler

    async def start(self) -> None:
        """Listen, and hand over what arrives from now on."""
        self.bind()
        self.start_receiving()

    def bind(self) -> None:
        """Listen; `listen.port` becomes the real port when it was 0.

        Arriving messages wait until `start_receiving`, when all handlers are known. An
        instance that starts among others could not decode their first ones otherwise.
        """
        self.router = self.plain_context.socket(zmq.ROUTER)
        self.router.linger = 0
        # A peer that reconnects after a cut still has its old connection here.
        # Without handover the new one is refused until the old one times out,
        # and the peer would seem dead for minutes.
        self.router.router_handover = True
        self.router.rcvhwm = HIGH_WATER_MARK
        if self.security is not None:
            self.security.start(self.context)
            self.security.secure_listener(self.router)
        if self.listen.port == 0:
            port = self.router.bind_to_random_port(f"tcp://{self.listen.host}")
            self.listen = endpoint.Endpoint(self.listen.host, port)
        else:
            self.router.bind(self.listen.url())

    def start_receiving(self) -> None:
        """Hand over what has arrived and what arrives from now on."""
        # Watched directly: pyzmq's own way to wait makes several futures and turns
        # of the event loop for each arrival, which cost more than the messages.
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.router.FD, self.receive)
        self.loop.call_soon(self.receive)

    async def stop(self) -> None:
        """Close all sockets; what wasn't sent is dropped."""
        if self.loop is not None:
            self.loop.remove_reader(self.router.FD)
        for socket in self.links.values():
            socket.close(0)
        self.links.clear()
        self.pending.clear()
        if self.router is not None:
            self.router.close(0)
            self.router = None
        if self.security is not None:
            self.security.stop()
        self.context.term()

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        """Send without waiting; False when it was dropped.

        That is so while the peer isn't connected, or its queue is full.
        """
        content = self.codec.encode(sent)
        if peer == self.listen:
            self.deliver(self.instance, content)
            return True
        socket = self.link(peer)
        waiting = self.pending.get(peer)
        if waiting is not None:
            if len(waiting) < MAX_PENDING:
                waiting.append(content)
                if len(waiting) == 1:
                    self.send_pending(peer)
                return True
        elif self.try_send(socket, content):
            return True
        self.dropped += 1
        return False

    def try_send(self, socket: zmq.Socket, content: bytes) -> bool:
        """Hand a message to a socket; False: it has no connection, or no room."""
        try:
            socket.send(content, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self.sent += 1
        self.sent_bytes += len(content)
        return True

    def send_pending(self, peer: endpoint.Endpoint) -> None:
        """Send what waits for a link's first connection, in its order."""
        waiting = self.pending.get(peer)
        if not waiting:
            return
        while waiting and self.try_send(self.links[peer], waiting[0]):
            del waiting[0]
        if waiting:
            self.loop.call_later(PENDING_RETRY_SECONDS, self.send_pending, peer)
        else:
            del self.pending[peer]

    def drop_pending(self, peer: endpoint.Endpoint) -> None:
        """Drop what still waits; from now on nothing does."""
        self.dropped += len(self.pending.pop(peer, ()))

    def link(self, peer: endpoint.Endpoint) -> zmq.Socket:
        """Return the socket to a peer, made at the first use."""
        socket = self.links.get(peer)
        if socket is not None:
            return socket
        socket = self.plain_context.socket(zmq.DEALER)
        socket.linger = 0
        socket.identity = self.identity
        socket.sndhwm = HIGH_WATER_MARK
        # Without a connection nothing is queued. Heartbeats to a region that is cut
        # off for an hour would otherwise wait in memory, megabytes for each peer,
        # and arrive all at once when they are long untrue.
        socket.immediate = True
        socket.reconnect_ivl = 50
        socket.reconnect_ivl_max = 1000
        socket.tcp_maxrt = UNACKNOWLEDGED_TIMEOUT_MS
        if self.security is not None:
            self.security.secure_link(socket)
        socket.connect(peer.url())
        self.links[peer] = socket
        if self.queues_first_messages:
            self.pending[peer] = []
            self.loop.call_later(PENDING_SECONDS, self.drop_pending, peer)
        return socket

    def forget(self, peer: endpoint.Endpoint) -> None:
        """Close the socket to a peer that is gone."""
        self.drop_pending(peer)
        socket = self.links.pop(peer, None)
        if socket is not None:
            socket.close(0)

    def receive(self) -> None:
        """Take in what has arrived, up to a bound; the rest has the next turn.

        The descriptor shows only that something is new. What is left in the queue
        would wait for the next message, if it weren't looked at again.
        """
        if self.router is None:
            return
        for _ in range(RECEIVE_BATCH):
            try:
                frames = self.router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            identity = frames[0].decode(errors="replace")
            sender = ids.InstanceId(identity.partition("|")[0])
            self.deliver(sender, frames[-1])
        self.loop.call_soon(self.receive)

    def deliver(self, sender: ids.InstanceId, content: bytes) -> None:
        """Decode one message and call its handler."""
        try:
            received = self.codec.decode(content)
            self.handlers[type(received)](sender, received)
        except errors.PeerError as error:
            log.warning("{} (from {})", error, sender)
        except Exception:
            # One bad message must not end the task that takes in all others:
            # the instance would look frozen to its peers from then on.
            log.exception("the handler of a message from {} failed", sender)
