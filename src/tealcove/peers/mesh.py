"""The ZeroMQ sockets of an instance: one listener, and one to each peer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

import logbook
import zmq
import zmq.asyncio

from tealcove import errors, ids, stalls
from tealcove.peers import endpoint, message, security

log = logbook.Logger("peers")

# Maximum number of queued messages for one connected peer. Further ones are dropped, as
# by a network: senders repeat what matters, and an unbounded queue would grow for as
# long as a peer is frozen.
HIGH_WATER_MARK = 1000
# A connection may stall without being closed, so that sent messages are lost and no
# reconnection starts: heartbeats would stop for good in one direction. Milliseconds for
# which sent bytes may stay unacknowledged before the connection is closed and
# re-established, twice the longest pause between heartbeats of a small group. The
# kernel checks this at no cost; ZeroMQ's own probes, sent by both ends of each
# connection every 0.7 s, were four times as many as the heartbeats at 63 instances.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
# With `queues_first_messages`, messages to a peer that is not connected yet are queued:
# in a large group the first one to most peers is a caller's request. Seconds for which
# they are queued, as long as callers wait for an event; seconds between two attempts to
# send; and the maximum number of queued messages.
PENDING_SECONDS = 0.5
PENDING_RETRY_SECONDS = 0.005
MAX_PENDING = 100
# Messages received in one turn of the event loop before other tasks run.
RECEIVE_BATCH = 200

M = TypeVar("M", bound=message.Message)
Handler = Callable[[ids.InstanceId, M], None]


class Mesh:
    """Sends messages to peers and dispatches received ones to their handlers."""

    def __init__(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        listen: endpoint.Endpoint,
        secured: security.Security | None = None,
        own_stalls: stalls.Stalls | None = None,
    ) -> None:
        self.stalls = own_stalls or stalls.Stalls()
        self.instance = instance
        self.identity = f"{instance}|{incarnation}".encode()
        self.listen = listen
        self.security = secured
        self.codec = message.Codec()
        self.handlers: dict[type[message.Message], Handler] = {}
        self.links: dict[endpoint.Endpoint, zmq.Socket] = {}
        # Whether the first messages to a peer are queued until it is connected.
        self.queues_first_messages = False
        # Messages queued for links that have not been connected yet.
        self.pending: dict[endpoint.Endpoint, list[bytes]] = {}
        self.context = zmq.asyncio.Context()
        self.plain_context = zmq.Context.shadow(self.context.underlying)
        self.router: zmq.Socket | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.dropped = 0
        self.sent = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Register the handler of a message type."""
        self.codec.register(message_type)
        self.handlers[message_type] = handler

    async def start(self) -> None:
        """Listen, and dispatch messages from now on."""
        self.bind()
        self.start_receiving()

    def bind(self) -> None:
        """Bind the listener; `listen.port` 0 is replaced by the actual port.

        Arriving messages wait until `start_receiving`, when all handlers are known. An
        instance that starts among others could not decode their first ones otherwise.
        """
        self.router = self.plain_context.socket(zmq.ROUTER)
        self.router.linger = 0
        # A peer that reconnects after a network failure still has its old connection
        # here. Without handover the new one is refused until the old one times out, and
        # the peer would seem dead for minutes.
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
        """Dispatch the messages that have arrived and those that follow."""
        # The descriptor is watched directly: pyzmq's own polling takes several futures
        # and event loop turns for each arrival, which cost more than the messages.
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.router.FD, self.receive)
        self.loop.call_soon(self.receive)

    async def stop(self) -> None:
        """Close all sockets; unsent messages are dropped."""
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
        """Send without blocking; return False if the message was dropped.

        Messages are dropped while the peer is not connected or its queue is full.
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
        """Send without blocking; False: not connected, or the queue is full."""
        try:
            socket.send(content, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self.sent += 1
        self.sent_bytes += len(content)
        return True

    def send_pending(self, peer: endpoint.Endpoint) -> None:
        """Send the queued messages of a link in order, once it is connected."""
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
        """Drop the queued messages of a link; later ones are not queued."""
        self.dropped += len(self.pending.pop(peer, ()))

    def link(self, peer: endpoint.Endpoint) -> zmq.Socket:
        """Return the socket to a peer, created on first use."""
        socket = self.links.get(peer)
        if socket is not None:
            return socket
        socket = self.plain_context.socket(zmq.DEALER)
        socket.linger = 0
        socket.identity = self.identity
        socket.sndhwm = HIGH_WATER_MARK
        # Nothing is queued without a connection. Heartbeats to a region that is
        # unreachable for an hour would otherwise take megabytes of memory for each
        # peer, and arrive all at once when they are outdated.
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
            self.stalls.call_later(PENDING_SECONDS, lambda: self.drop_pending(peer))
        return socket

    def forget(self, peer: endpoint.Endpoint) -> None:
        """Close the socket to a removed peer."""
        self.drop_pending(peer)
        socket = self.links.pop(peer, None)
        if socket is not None:
            socket.close(0)

    def receive(self) -> None:
        """Receive up to RECEIVE_BATCH messages; the rest follow in the next turn.

        The descriptor signals only new arrivals: without the rescheduled call, messages
        left in the queue would wait for the next one.
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
            self.received_bytes += len(frames[-1])
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
            # One bad message must not stop the receipt of all others: the instance
            # would seem frozen to its peers from then on.
            log.exception("the handler of a message from {} failed", sender)
