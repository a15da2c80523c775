"""Callers that take broken streams up again, and check them over all their tries."""

from __future__ import annotations

import re

import msgspec

from tealcove.front import instance
from tealcove.standins import poolserver
from tests import platform_site

EVENT = re.compile(rb"id: (\d+)\ndata: piece \1 by (\S+)\n\n")
SUCCESS = 200
NOT_RUN = 503
# Servers that one try is sent to at most.
ATTEMPTS = 2


class Stream:
    """One stream of a caller, over all its tries."""

    def __init__(self, running: platform_site.Site, number: int) -> None:
        self.running = running
        self.path = f"/stream/{number}"
        # The try that brought the first event.
        self.first_try: str | None = None
        self.answers: list[platform_site.Answer] = []
        self.request_ids: list[str] = []

    @property
    def body(self) -> bytes:
        """The whole events that the caller received, in order."""
        answers = (answer for answer in self.answers if answer.status == SUCCESS)
        found = b"".join(answer.body for answer in answers)
        return found[: found.rfind(b"\n\n") + 2] if b"\n\n" in found else b""

    @property
    def last_event(self) -> int:
        """The number of the last event that the caller received; 0: none."""
        return len(EVENT.findall(self.body))

    @property
    def is_whole(self) -> bool:
        """Whether all events of one version arrived in order, and the end."""
        versions = (poolserver.stream_of(version) for version in self.versions)
        return self.answers[-1].is_complete and self.body in versions

    @property
    def versions(self) -> set[str]:
        """The versions that wrote the received events."""
        return {version.decode() for _, version in EVENT.findall(self.body)}

    @property
    def was_refused(self) -> bool:
        """Whether the last try was refused, truly without a run, with a time."""
        answer = self.answers[-1]
        ran = [run.request_id for s in self.running.servers for run in s.runs]
        return (
            answer.status == NOT_RUN
            and self.request_ids[-1] not in ran
            and float(answer.headers["Retry-After"]) > 0.0
        )

    async def send(self, at: instance.Instance) -> None:
        """Send one try to an instance, which resumes the stream if it has begun."""
        headers = {}
        if self.last_event:
            headers["Last_Event_Id"] = str(self.last_event)
        if self.first_try is not None:
            headers["Resumes"] = self.first_try
        # Others may send meanwhile.
        self.request_ids.append(f"r-{self.running.requests + 1}")
        self.answers.append(await self.running.send(self.path, at, **headers))
        if self.first_try is None and self.last_event:
            self.first_try = self.request_ids[-1]


class Taken(msgspec.Struct, frozen=True):
    """What became of the streams that were taken up."""

    mixed: int
    whole: int
    refused: int


async def begin(
    running: platform_site.Site, count: int, at: instance.Instance
) -> list[Stream]:
    """Begin streams one by one; each breaks in its middle, and at every retry."""
    begun = []
    for number in range(count):
        for server in running.servers:
            server.faults.clear()
            server.faults.extend([poolserver.Fault.CUT] * ATTEMPTS)
        stream = Stream(running, number)
        await stream.send(at)
        begun.append(stream)
    for server in running.servers:
        server.faults.clear()
    return begun


def outcome(begun: list[Stream]) -> Taken:
    """Return what became of streams."""
    return Taken(
        mixed=sum(len(stream.versions) > 1 for stream in begun),
        whole=sum(stream.is_whole for stream in begun),
        refused=sum(stream.was_refused for stream in begun),
    )
