"""Fetches the configuration from peers while the platform is unavailable."""

from __future__ import annotations

import asyncio
import itertools

from tealcove import clock, errors, ids
from tealcove.membership import members
from tealcove.peers import mesh
from tealcove.resources import copy, messages, reader, snapshots

FETCH_TIMEOUT = 5.0


class MeshPeerSource(reader.PeerSource):
    """Requests the configuration from peers at a given revision, one by one."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known_members: members.Members,
        local_copy: copy.ConfigurationCopy,
    ) -> None:
        self.transport = transport
        self.members = known_members
        self.copy = local_copy
        self.request_numbers = itertools.count()
        self.pending_replies: dict[int, asyncio.Future[bytes]] = {}

    def start(self) -> None:
        """Register the handlers of requests and replies."""
        self.transport.handle(messages.ConfigurationRequest, self.handle_request)
        self.transport.handle(messages.ConfigurationReply, self.handle_reply)

    def handle_request(
        self, sender: ids.InstanceId, request: messages.ConfigurationRequest
    ) -> None:
        """Send the configuration in force here to a peer."""
        peer = self.members.endpoint_of(request.sender)
        if peer is None:
            return
        content = snapshots.encode(self.copy.current)
        reply = messages.ConfigurationReply(number=request.number, content=content)
        self.transport.send(peer, reply)

    def handle_reply(
        self, sender: ids.InstanceId, reply: messages.ConfigurationReply
    ) -> None:
        """Complete the pending request that a reply belongs to."""
        pending = self.pending_replies.pop(reply.number, None)
        if pending is not None and not pending.done():
            pending.set_result(reply.content)

    async def fetch(self, revision: ids.Revision) -> bytes:
        """Return a peer's configuration; see the base class."""
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
        """Return one peer's configuration, or None if it doesn't reply in time."""
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
            async with self.members.stalls.timeout(FETCH_TIMEOUT):
                return await pending
        except TimeoutError:
            return None
        finally:
            self.pending_replies.pop(number, None)
