"""Short pauses of instances, which must not be taken for faults of others."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator

from soak import callers, deployment, disturbances, injector

# Duration of a pause in seconds; peers suspect an instance after a second.
MIN_SECONDS, MAX_SECONDS = 0.1, 0.9
# Mean seconds between the starts of two pauses; pauses overlap.
MEAN_PAUSE_SECONDS = 0.15
# What an instance logs that takes a backend server, or a path to one, for lost. None is
# in such a soak.
CONCLUSIONS = (
    "has no path to",
    "backend servers not reached",
    "not reached by",
    "isn't paused: ",
    "is paused for",
    "hangs: its path is lost",
)


class PauseInjector(injector.Injector):
    """Stops instances and resumes them, again and again, never all of them."""

    def __init__(self, context: injector.Context) -> None:
        super().__init__(context)
        self.paused: set[str] = set()
        self.count = 0

    @contextlib.asynccontextmanager
    async def pause(self) -> AsyncIterator[str]:
        """Stop the process of an instance for a moment."""
        member = self.random.choice(self.running.members)
        seconds = self.random.uniform(MIN_SECONDS, MAX_SECONDS)
        is_last = len(self.paused) == len(self.running.members) - 1
        if member.name in self.paused or is_last:
            yield "nothing"
            return
        self.count += 1
        self.paused.add(member.name)
        with self.disturbances.disturbed(disturbances.process_of(member.name)):
            member.send(signal.SIGSTOP)
            try:
                await asyncio.sleep(seconds)
            finally:
                member.send(signal.SIGCONT)
                self.paused.discard(member.name)
        yield f"pause {member.name} for {seconds:.2f} s"


def misjudgements(running: deployment.Deployment) -> list[str]:
    """Return the lines of all instances that take something else for lost."""
    found = []
    for member in running.members:
        lines = member.log.read_text(errors="replace").splitlines()
        found.extend(
            f"{member.name}: {line}"
            for line in lines
            if any(conclusion in line for conclusion in CONCLUSIONS)
        )
    return found


def unserved(ended: list[callers.CallResult]) -> list[str]:
    """Return the requests that weren't served, though all servers are sound."""
    return [
        f"{one.request_id} of {one.member} ended with {one.answer.status}"
        for one in ended
        if not (one.answer.status == 200 and one.answer.is_complete)
    ]
