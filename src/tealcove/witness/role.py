"""The witness: leaves records at other instances, keeps theirs, and asks."""

from __future__ import annotations

import asyncio
import hashlib
import itertools

from tealcove import clock, ids
from tealcove.membership import members
from tealcove.peers import mesh, message
from tealcove.witness import messages, records

# Instances in rank order that may have a record: the entry that left it chose
# the first other than itself, and may be the first of all.
ASKED = 2
# Places share so many rankings: one ranking hashes once for each instance, too
# much for each request at full size.
BUCKETS = 1024
BUCKET_BYTES = 4


class Question:
    """Something asked of a few instances at once."""

    def __init__(self, count: int, wanted: ids.Incarnation | None) -> None:
        self.missing = count
        # The process to hear from; absent: whoever has a record.
        self.wanted = wanted
        self.answer: asyncio.Future[messages.Told | None] = (
            asyncio.get_running_loop().create_future()
        )

    def take(self, told: messages.Told) -> None:
        """Take one answer in; the first wanted one, or the last, is the end."""
        self.missing -= 1
        if self.answer.done():
            return
        is_wanted = told.record is not None
        if self.wanted is not None:
            is_wanted = told.incarnation == self.wanted
        if is_wanted:
            self.answer.set_result(told)
        elif self.missing == 0:
            self.answer.set_result(None)


class Witness:
    """Both sides: the entry's, and that of the instance in whose memory it writes."""

    def __init__(
        self, transport: mesh.Mesh, known: members.Members, timeout: float
    ) -> None:
        self.transport = transport
        self.members = known
        # Seconds to wait for an answer. Who is alive answers in a few milliseconds;
        # a first sending waits for so long only if an instance died a moment ago
        # and isn't missed yet.
        self.timeout = timeout
        self.records = records.Records()
        self.questions: dict[int, Question] = {}
        self.numbers = itertools.count()
        # Where the records of this entry's requests are.
        self.holders: dict[ids.RequestId, ids.InstanceId] = {}
        self.rankings: dict[int, list[ids.InstanceId]] = {}

    def start(self) -> None:
        """Begin to keep records and to answer."""
        self.transport.handle(
            messages.Left, lambda sender, left: self.records.keep(left, clock.now())
        )
        self.transport.handle(
            messages.Dropped, lambda sender, dropped: self.records.drop(dropped)
        )
        self.transport.handle(
            messages.Asked,
            lambda sender, asked: self.take_question(sender, asked, clock.now()),
        )
        self.transport.handle(messages.Told, self.take_answer)
        self.members.listen(self.rankings.clear)

    def rank(self, place: messages.Place, now: ids.Instant) -> list[ids.InstanceId]:
        """Rank the serving instances for a place, those of this data centre first.

        Callers send again to a near entry, and a question to a far data centre
        would cost each request a round trip.
        """
        text = f"{place.account}/{place.key}".encode()
        digest = hashlib.blake2b(text, digest_size=BUCKET_BYTES).digest()
        bucket = int.from_bytes(digest) % BUCKETS
        found = self.rankings.get(bucket)
        if found is None:
            near = self.members.own.data_centre
            found = self.members.rank(f"witness/{bucket}", now, near)
            self.rankings[bucket] = found
        return found

    def leave(
        self,
        place: messages.Place,
        record: messages.Record,
        seconds: float,
        now: ids.Instant,
    ) -> None:
        """Leave a record at another instance, without waiting for it."""
        own = self.members.own.instance
        holder = next((i for i in self.rank(place, now) if i != own), None)
        if holder is not None:
            self.holders[record.request_id] = holder
            left = messages.Left(place=place, record=record, seconds=seconds)
            self.send(holder, left)

    def drop(self, place: messages.Place, request_id: ids.RequestId) -> None:
        """Have the record of a request that has ended forgotten."""
        holder = self.holders.pop(request_id, None)
        if holder is not None:
            self.send(holder, messages.Dropped(place=place, request_id=request_id))

    async def find_lost(
        self, place: messages.Place, fingerprint: str
    ) -> messages.Record | None:
        """Return the record of the same request if its entry doesn't answer."""
        found = self.records.find(place, clock.now())
        if found is None:
            found = await self.ask_witnesses(place)
        if found is None or found.fingerprint != fingerprint:
            return None
        return None if await self.is_alive(found, place) else found

    async def ask_witnesses(self, place: messages.Place) -> messages.Record | None:
        """Ask the instances that may have a record."""
        own = self.members.own.instance
        ranked = self.rank(place, clock.now())[:ASKED]
        told = await self.ask([i for i in ranked if i != own], place)
        return None if told is None else told.record

    async def is_alive(self, record: messages.Record, place: messages.Place) -> bool:
        """Ask a record's entry, since heartbeats miss it a second late."""
        alive = {(h.instance, h.incarnation) for h in self.members.alive(clock.now())}
        if (record.entry, record.incarnation) not in alive:
            return False
        told = await self.ask([record.entry], place, record.incarnation)
        return told is not None

    async def ask(
        self,
        asked: list[ids.InstanceId],
        place: messages.Place,
        wanted: ids.Incarnation | None = None,
    ) -> messages.Told | None:
        """Return the first answer with a record, or any of the wanted process."""
        if not asked:
            return None
        number = next(self.numbers)
        question = Question(len(asked), wanted)
        self.questions[number] = question
        for instance in asked:
            self.send(instance, messages.Asked(question=number, place=place))
        try:
            async with asyncio.timeout(self.timeout):
                return await question.answer
        except TimeoutError:
            return None
        finally:
            del self.questions[number]

    def take_question(
        self, sender: ids.InstanceId, asked: messages.Asked, now: ids.Instant
    ) -> None:
        """Answer from memory."""
        told = messages.Told(
            question=asked.question,
            incarnation=self.members.own.incarnation,
            record=self.records.find(asked.place, now),
        )
        self.send(sender, told)

    def take_answer(self, sender: ids.InstanceId, told: messages.Told) -> None:
        """Take in an answer; a late one is dropped."""
        question = self.questions.get(told.question)
        if question is not None:
            question.take(told)

    def send(self, instance: ids.InstanceId, sent: message.Message) -> None:
        """Send a message to an instance whose address is known."""
        peer = self.members.endpoint_of(instance)
        if peer is not None:
            self.transport.send(peer, sent)
