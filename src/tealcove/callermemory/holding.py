"""The bytes that one connection or one request makes this process hold."""

from __future__ import annotations

import abc
import enum
from collections.abc import Callable

from aiohttp import web

from tealcove import ids

# Bytes of an open connection besides what is counted.
CONNECTION_BYTES = 8 * 1024
# Copies of a head: as it came, as it was parsed, and decoded.
HEAD_COPIES = 4
# Bytes of a request that waits for its turn, however short it is.
REQUEST_BYTES = 3 * 1024
# Seconds for which a caller may take its time, however scarce memory is.
GRACE_SECONDS = 1.0
# Seconds after which bytes count half as progress. Those that stall after a good start
# are soon behind those that send steadily.
HALF_LIFE_SECONDS = 1.0
# Seconds for which unsent bytes haven't decreased, from which on a caller doesn't read.
UNREAD_SECONDS = 2.0
# Bytes that the kernel may hold of an answer that isn't read.
SENDING_BYTES = 128 * 1024


class Step(enum.Enum):
    """What a connection is waiting for."""

    # The next request, nothing of which has arrived.
    IDLE = "idle"
    # The rest of a head or of a body, which is the caller's turn.
    ARRIVING = "arriving"
    # The answer, which is this system's turn.
    ANSWERING = "answering"


class Account(abc.ABC):
    """Adds up what all connections hold."""

    @abc.abstractmethod
    def count(self, more: int) -> None:
        """Count bytes that are held in addition; negative: that are free again."""

    @abc.abstractmethod
    def allows(self, held: Holding, more: int, now: ids.Instant) -> bool:
        """Tell whether a connection may hold so many bytes more."""


class Holding:
    """What one connection holds, and how fast its caller makes progress."""

    def __init__(
        self, account: Account, abort: Callable[[], None], now: ids.Instant
    ) -> None:
        self.account = account
        # Closes the connection.
        self.abort = abort
        # Refuses the request whose body is being read, instead of closing.
        self.refuse: Callable[[], None] | None = None
        self.step = Step.IDLE
        # When the step began.
        self.since = now
        # Bytes that have arrived in it, the latest weighted most, and when they did.
        self.progress = 0.0
        self.received_at = now
        # Bytes of the body and the answer of the request in progress.
        self.kept = 0
        # Bytes that were received and that no request has taken, and what they cost.
        self.ahead = 0
        self.ahead_cost = 0.0
        # Bytes that wait in the transport, and since when they haven't decreased.
        self.unsent = 0
        self.unread_since: ids.Instant | None = None
        self.size = CONNECTION_BYTES
        self.is_ended = False
        account.count(self.size)

    def begin(self, step: Step, now: ids.Instant) -> None:
        """Begin a step, unless it has begun."""
        if step is not self.step:
            self.step = step
            self.since = now
            self.progress = 0.0

    def receive(self, size: int, now: ids.Instant) -> None:
        """Record the progress of the caller."""
        self.progress = self.progress_at(now) + size
        self.received_at = now

    def add_ahead(self, size: int, cost: int, now: ids.Instant) -> bool:
        """Add bytes that no request has taken, and what they cost.

        Returns False if they are too many.
        """
        if self.is_ended:
            return False
        is_allowed = self.account.allows(self, cost, now)
        self.ahead += size
        self.ahead_cost += cost
        self.recount()
        return is_allowed

    def note_unsent(self, size: int, since: ids.Instant | None) -> None:
        """Note the unsent bytes, and since when they haven't decreased."""
        self.unsent = size
        self.unread_since = since
        self.recount()

    def take(self, size: int) -> None:
        """Let the request in progress take bytes of those that were received."""
        left = max(0, self.ahead - size)
        if self.ahead:
            self.ahead_cost *= left / self.ahead
        self.ahead = left
        self.recount()

    def keep_ahead(self, size: int) -> None:
        """Keep so many bytes of the head of a request that hasn't begun."""
        self.ahead = size
        self.ahead_cost = HEAD_COPIES * size
        self.recount()

    def progress_at(self, now: ids.Instant) -> float:
        """Return the weighted bytes that have arrived in the step."""
        age = now - self.received_at
        return self.progress * 0.5 ** (age / HALF_LIFE_SECONDS)

    def keep(self, more: int, now: ids.Instant) -> bool:
        """Keep bytes until the request ends; returns False if they are too many."""
        if self.is_ended or not self.account.allows(self, more, now):
            return False
        self.kept += more
        self.recount()
        return True

    def add(self, more: int) -> None:
        """Keep bytes that are held already until the request ends."""
        self.kept += more
        self.recount()

    def keep_only(self, size: int) -> None:
        """Keep so many bytes of the request, and no more."""
        self.kept = size
        self.recount()

    def release(self) -> None:
        """Keep nothing of the request any more."""
        self.keep_only(0)

    def recount(self) -> None:
        """Count what is held now."""
        size = CONNECTION_BYTES + self.kept + round(self.ahead_cost)
        if self.unsent:
            size += self.unsent + SENDING_BYTES
        if self.is_ended:
            size = 0
        self.account.count(size - self.size)
        self.size = size

    def move_to(self, other: Holding) -> None:
        """Let another holding keep what this one keeps."""
        other.kept += self.kept
        other.recount()
        self.release()

    def finish(self, now: ids.Instant) -> None:
        """Release what a request held that has got its answer."""
        self.begin(Step.IDLE, now)
        self.release()

    def is_slow(self, now: ids.Instant) -> bool:
        """Tell whether the caller holds up what is held, beyond the grace time."""
        if self.is_unread(now):
            return True
        return self.step is Step.ARRIVING and now - self.since >= GRACE_SECONDS

    def is_stalled(self, seconds: float, now: ids.Instant) -> bool:
        """Tell whether no whole request has come for some seconds."""
        return self.step is not Step.ANSWERING and now - self.since >= seconds

    def is_unread(self, now: ids.Instant) -> bool:
        """Tell whether the caller doesn't read its answer."""
        since = self.unread_since
        return since is not None and now - since >= UNREAD_SECONDS

    def end(self) -> None:
        """Refuse the request or close the connection, and hold nothing any more."""
        self.is_ended = True
        self.recount()
        if self.refuse is not None:
            self.refuse()
        else:
            self.abort()


class Unlimited(Account):
    """Allows everything."""

    def count(self, more: int) -> None:
        """See Account."""

    def allows(self, held: Holding, more: int, now: ids.Instant) -> bool:
        """See Account."""
        return True


def unlimited(now: ids.Instant) -> Holding:
    """Return a holding that no limit applies to."""
    return Holding(Unlimited(), lambda: None, now)


def of_request(request: web.BaseRequest, now: ids.Instant) -> Holding:
    """Return what the connection of a request holds."""
    found = getattr(request.protocol, "holding", None)
    return unlimited(now) if found is None else found
