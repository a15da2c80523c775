"""Questions to the homes of a service, and their answers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Iterable

from tealcove import ids
from tealcove.membership import members
from tealcove.origins import messages
from tealcove.peers import mesh

# Seconds that an entry waits for the answers.
ANSWER_TIMEOUT = 0.1


class Questions:
    """Asks homes at which version a stream began."""

    def __init__(self, transport: mesh.Mesh, known_members: members.Members) -> None:
        self.transport = transport
        self.members = known_members
        self.numbers = itertools.count(1)
        self.pending: dict[int, asyncio.Future[messages.OriginAnswer]] = {}

    def start(self) -> None:
        """Register the message handler."""
        self.transport.handle(messages.OriginAnswer, self.handle_answer)

    def handle_answer(
        self, sender: ids.InstanceId, answer: messages.OriginAnswer
    ) -> None:
        """Pass an answer to the request that waits for it."""
        waiting = self.pending.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    async def ask(
        self, homes: Iterable[ids.InstanceId], service: ids.PoolId, stream: bytes
    ) -> list[messages.OriginAnswer] | None:
        """Return the answers of the other homes; None if none of them answers.

        It is also None if no other instance is left to ask, though some were known:
        these may be alive, and know more.
        """
        own = self.members.own.instance
        numbers = [
            number
            for home in homes
            if home != own and (number := self.send(home, service, stream))
        ]
        if not numbers:
            return None if self.members.peers else []
        try:
            waiting = [self.pending[number] for number in numbers]
            return await self.wait_for_answers(waiting) or None
        finally:
            for number in numbers:
                del self.pending[number]

    def send(
        self, home: ids.InstanceId, service: ids.PoolId, stream: bytes
    ) -> int | None:
        """Send a question; return its number, or None if the home isn't connected."""
        peer = self.members.endpoint_of(home)
        if peer is None:
            return None
        number = next(self.numbers)
        self.pending[number] = asyncio.get_running_loop().create_future()
        question = messages.OriginQuestion(
            number=number, service=service, stream=stream
        )
        if self.transport.send(peer, question):
            return number
        del self.pending[number]
        return None

    async def wait_for_answers(
        self, waiting: list[asyncio.Future[messages.OriginAnswer]]
    ) -> list[messages.OriginAnswer]:
        """Return the answers that arrive in time, up to one that knows the version."""
        answers = []
        with contextlib.suppress(TimeoutError):
            async with self.members.stalls.timeout(ANSWER_TIMEOUT):
                for answered in asyncio.as_completed(waiting):
                    answers.append(await answered)
                    if answers[-1].version is not None:
                        break
        return answers
