"""Other instances as a source of the configuration while the platform is down."""

from __future__ import annotations

import asyncio
import itertools

from tealcove import clock, errors, ids
from tealcove.membership import members
from tealcove.peers import mesh
from tealcove.resources import copy, messages, reader, snapshots

FETCH_TIMEOUT = 5.0


class MeshPeerSource(reader.PeerSource):
    """Asks the peers that are at a revision, one after the other."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        own: copy.ConfigurationCopy,
    ) -> None:
        self.transport = transport
        self.members = known
        self.copy = own
        self.request_numbers = itertools.count()
        self.pending_replies: dict[int, asyncio.Future[bytes]] = {}

    def start(self) -> None:
        """Begin to ask and to answer."""
        self.transport.handle(messages.ConfigurationRequest, self.handle_request)
        self.transport.handle(messages.ConfigurationReply, self.handle_reply)

    def handle_request(
        self, sender: ids.InstanceId, request: messages.ConfigurationRequest
    ) -> None:
        """Send a peer what is in force here."""
        peer = self.members.endpoint_of(request.sender)
        if peer is None:
            return
        content = snapshots.encode(self.copy.current)
        reply = messages.ConfigurationReply(number=request.number, content=content)
        self.transport.send(peer, reply)

    def handle_reply(
        self, sender: ids.InstanceId, reply: messages.ConfigurationReply
    ) -> None:
        """Hand a peer's configuration to whoever waits for it."""
        pending = self.pending_replies.pop(reply.number, None)
        if pending is not None and not pending.done():
            pending.set_result(reply.content)

    async def fetch(self, revision: ids.Revision) -> bytes:
        """See PeerSource."""
        for heartbeat in self.members.alive(clock.now())[1:]:
            if heartbeat.revision < revision:
                continue
            content = await self.request_from(heartbeat.instance)
            if content is not None:
                return content
        raise errors.PeerError(
            f"no peer sent the configuration at revision {revision}",
            "Start an instance that can reach the platform, or wait for it.",
        )

    async def request_from(self, instance: ids.InstanceId) -> bytes | None:
        """Return one peer's configuration, or None when it's silent."""
        peer = self.members.endpoint_of(instance)
        if peer is None:
            return None
        number = next(self.request_numbers)
        pending = asyncio.get_running_loop().create_future()
        self.pending_replies[number] = pending
        own = self.members.own.instance
        self.transport.send(
            peer, messages.ConfigurationRequest(sender=own, number=number)
        )
        try:
            return await asyncio.wait_for(pending, FETCH_TIMEOUT)
        except TimeoutError:
            return None
        finally:
            self.pending_replies.pop(number, None)
