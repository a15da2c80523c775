"""The witness: stores records at other instances, holds theirs, and queries them."""

from __future__ import annotations

import asyncio
import hashlib
import itertools

from tealcove import clock, ids
from tealcove.membership import members
from tealcove.peers import mesh, message
from tealcove.witness import messages, records

# How many of the first instances in rank may have a record: its entry stored it at
# the first one other than itself, and may itself be the first.
QUERIED_INSTANCES = 2
# Number of rankings that all request keys share: a ranking takes one hash per
# instance, too costly for each request in a deployment of full size.
RANKING_BUCKETS = 1024
BUCKET_BYTES = 4


class PendingQuery:
    """A query sent to several instances at once."""

    def __init__(self, count: int, wanted_incarnation: ids.Incarnation | None) -> None:
        self.outstanding = count
        # The process that must reply; None: any that has a record.
        self.wanted_incarnation = wanted_incarnation
        self.answer: asyncio.Future[messages.RecordReply | None] = (
            asyncio.get_running_loop().create_future()
        )

    def add_reply(self, reply: messages.RecordReply) -> None:
        """Add a reply; the first wanted one, or the last, completes the query."""
        self.outstanding -= 1
        if self.answer.done():
            return
        is_wanted = reply.record is not None
        if self.wanted_incarnation is not None:
            is_wanted = reply.incarnation == self.wanted_incarnation
        if is_wanted:
            self.answer.set_result(reply)
        elif self.outstanding == 0:
            self.answer.set_result(None)


class Witness:
    """Both sides: the entry, and the instance that holds its records in memory."""

    def __init__(
        self, transport: mesh.Mesh, known: members.Members, timeout: float
    ) -> None:
        self.transport = transport
        self.members = known
        # Seconds to wait for a reply. A live instance replies within a few
        # milliseconds; the first attempt of a request waits for the whole timeout
        # only if an instance died a moment ago and isn't detected as dead yet.
        self.timeout = timeout
        self.records = records.Records()
        self.queries: dict[int, PendingQuery] = {}
        self.query_numbers = itertools.count()
        # The instances that hold the records of this entry's requests.
        self.holders: dict[ids.RequestId, ids.InstanceId] = {}
        self.rankings: dict[int, list[ids.InstanceId]] = {}

    def start(self) -> None:
        """Register the message handlers."""
        self.transport.handle(
            messages.StoreRecord,
            lambda sender, stored: self.records.store(stored, clock.now()),
        )
        self.transport.handle(
            messages.DeleteRecord, lambda sender, deleted: self.records.delete(deleted)
        )
        self.transport.handle(
            messages.RecordQuery,
            lambda sender, query: self.handle_query(sender, query, clock.now()),
        )
        self.transport.handle(messages.RecordReply, self.handle_reply)
        self.members.listen(self.rankings.clear)

    def rank(
        self, request_key: messages.RequestKey, now: ids.Instant
    ) -> list[ids.InstanceId]:
        """Rank the serving instances for a key, those of this data centre first.

        Callers retry at a near entry, and a query to a distant data centre would
        cost each request a long round trip.
        """
        text = f"{request_key.account}/{request_key.key}".encode()
        digest = hashlib.blake2b(text, digest_size=BUCKET_BYTES).digest()
        bucket = int.from_bytes(digest) % RANKING_BUCKETS
        found = self.rankings.get(bucket)
        if found is None:
            near = self.members.own.data_centre
            found = self.members.rank(f"witness/{bucket}", now, near)
            self.rankings[bucket] = found
        return found

    def store(
        self,
        request_key: messages.RequestKey,
        record: messages.Record,
        seconds: float,
        now: ids.Instant,
    ) -> None:
        """Store a record at another instance, without waiting for it."""
        own = self.members.own.instance
        holder = next((i for i in self.rank(request_key, now) if i != own), None)
        if holder is not None:
            self.holders[record.request_id] = holder
            sent = messages.StoreRecord(
                request_key=request_key, record=record, seconds=seconds
            )
            self.send(holder, sent)

    def delete(
        self, request_key: messages.RequestKey, request_id: ids.RequestId
    ) -> None:
        """Delete the record of a request that has ended."""
        holder = self.holders.pop(request_id, None)
        if holder is not None:
            self.send(
                holder,
                messages.DeleteRecord(request_key=request_key, request_id=request_id),
            )

    async def find_lost(
        self, request_key: messages.RequestKey, fingerprint: str
    ) -> messages.Record | None:
        """Return the record of the same request if its entry doesn't reply."""
        found = self.records.find(request_key, clock.now())
        if found is None:
            found = await self.query_witnesses(request_key)
        if found is None or found.fingerprint != fingerprint:
            return None
        return None if await self.is_alive(found, request_key) else found

    async def query_witnesses(
        self, request_key: messages.RequestKey
    ) -> messages.Record | None:
        """Query the instances that may have a record."""
        own = self.members.own.instance
        ranked = self.rank(request_key, clock.now())[:QUERIED_INSTANCES]
        reply = await self.query([i for i in ranked if i != own], request_key)
        return None if reply is None else reply.record

    async def is_alive(
        self, record: messages.Record, request_key: messages.RequestKey
    ) -> bool:
        """Query a record's entry, since heartbeats detect its loss a second late."""
        alive = {(h.instance, h.incarnation) for h in self.members.alive(clock.now())}
        if (record.entry, record.incarnation) not in alive:
            return False
        reply = await self.query([record.entry], request_key, record.incarnation)
        return reply is not None

    async def query(
        self,
        instances: list[ids.InstanceId],
        request_key: messages.RequestKey,
        wanted_incarnation: ids.Incarnation | None = None,
    ) -> messages.RecordReply | None:
        """Return the first reply with a record, or the one of the wanted process."""
        if not instances:
            return None
        number = next(self.query_numbers)
        pending = PendingQuery(len(instances), wanted_incarnation)
        self.queries[number] = pending
        for instance in instances:
            self.send(
                instance,
                messages.RecordQuery(query_number=number, request_key=request_key),
            )
        try:
            async with self.members.stalls.timeout(self.timeout):
                return await pending.answer
        except TimeoutError:
            return None
        finally:
            del self.queries[number]

    def handle_query(
        self, sender: ids.InstanceId, query: messages.RecordQuery, now: ids.Instant
    ) -> None:
        """Reply with the record from memory, if there is one."""
        reply = messages.RecordReply(
            query_number=query.query_number,
            incarnation=self.members.own.incarnation,
            record=self.records.find(query.request_key, now),
        )
        self.send(sender, reply)

    def handle_reply(self, sender: ids.InstanceId, reply: messages.RecordReply) -> None:
        """Add a reply to its query; drop a late one."""
        pending = self.queries.get(reply.query_number)
        if pending is not None:
            pending.add_reply(reply)

    def send(self, instance: ids.InstanceId, sent: message.Message) -> None:
        """Send a message to an instance whose address is known."""
        peer = self.members.endpoint_of(instance)
        if peer is not None:
            self.transport.send(peer, sent)
