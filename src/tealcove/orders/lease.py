"""A lease with a fencing number, kept in one row of the platform's table.

There is no shared clock. A holder counts the duration from before it sent the
write that the platform applied. A challenger counts it from after it received the
changed row, and its own write is conditional on that row. So the holder's time
always starts first and, by the margin, ends first.
"""

from __future__ import annotations

import contextlib
import enum

import msgspec
import transitions

from tealcove import decoding, errors, ids
from tealcove.storage import table

TABLE = "leases"
NO_HOLDER = ""
# A holder that steps this often survives two failed renewals in a row.
STEPS_PER_DURATION = 4
# Share of the duration that covers differences between the rates of clocks.
DEFAULT_MARGIN_SHARE = 0.1


class LeaseState(enum.Enum):
    """State of the lease as known to this participant."""

    # No holder is known: the row wasn't read yet, or nobody holds the lease.
    ABSENT = "absent"
    # Another participant holds it, or did until it expired.
    CHALLENGING = "challenging"
    # It's held here; `Lease.held` tells whether it has expired.
    HELD = "held"
    # It was held here and expired, and no other holder is known.
    LAPSED = "lapsed"


class Trigger(enum.Enum):
    """Triggers of the state machine."""

    FIND_HOLDER = "find_holder"
    FIND_NONE = "find_none"
    WIN = "win"
    LAPSE = "lapse"
    RELEASE = "release"


ANY_STATE = "*"
# All leases share one machine: building one for each costs several times more.
# Leases aren't added to its list of models, which would never release them.
MACHINE = transitions.Machine(
    model=None,
    states=LeaseState,
    initial=LeaseState.ABSENT,
    auto_transitions=False,
    transitions=[
        [Trigger.FIND_HOLDER.value, ANY_STATE, LeaseState.CHALLENGING],
        [Trigger.FIND_NONE.value, ANY_STATE, LeaseState.ABSENT],
        [Trigger.WIN.value, ANY_STATE, LeaseState.HELD],
        [Trigger.LAPSE.value, LeaseState.HELD, LeaseState.LAPSED],
        [Trigger.RELEASE.value, LeaseState.HELD, LeaseState.ABSENT],
    ],
)


class LeaseRecord(msgspec.Struct, frozen=True):
    """Content of the row; `duration` is in seconds."""

    holder: str
    number: ids.FencingNumber
    duration: float


def holder_name(instance: ids.InstanceId, incarnation: ids.Incarnation) -> str:
    """Return the name under which one run of an instance holds leases.

    The incarnation keeps a restarted instance from treating the lease of its
    previous run as its own: that run's orders may still be in flight.
    """
    return f"{instance}/{incarnation}"


class Lease:
    """One participant's side of a lease: holder, challenger or neither.

    One task calls `step` every `interval` seconds; only `held` may be called
    concurrently. `now` must be read right before the call: it stands for the time
    before anything is sent.
    """

    def __init__(
        self,
        rows: table.TableService,
        name: str,
        holder: str,
        duration: float,
        margin: float | None = None,
    ) -> None:
        self.rows = rows
        self.name = name
        self.holder = holder
        self.duration = duration
        self.margin = duration * DEFAULT_MARGIN_SHARE if margin is None else margin
        if not 0 < self.margin < duration:
            raise errors.SettingsError(
                f"the margin of lease {name!r} is {self.margin:g} s",
                f"Write a margin above 0 and below the duration, {duration:g} s.",
            )
        self.state = LeaseState.ABSENT
        self.was_read = False
        self.row: table.Row | None = None
        self.record: LeaseRecord | None = None
        # Since when the row is known to be unchanged; None if not dated yet.
        self.unchanged_since: ids.Instant | None = None
        # When the first write with an unknown outcome was sent.
        self.unsettled_since: ids.Instant | None = None
        self.held_until = ids.Instant(0.0)
        self.greatest_number = ids.FencingNumber(0)

    @property
    def interval(self) -> float:
        """Seconds between two steps."""
        return self.duration / STEPS_PER_DURATION

    @property
    def number(self) -> ids.FencingNumber:
        """The greatest fencing number seen; the holder's own while it holds."""
        return self.greatest_number

    def held(self, now: ids.Instant) -> bool:
        """Tell whether the lease is held here at `now`; check before every order.

        A process that was paused until after its lease expired resumes in the state
        HELD. Only the comparison with the current time keeps it from sending an order
        that its successor doesn't know of.
        """
        return self.state is LeaseState.HELD and now < self.held_until

    async def step(self, now: ids.Instant) -> None:
        """Renew the lease, acquire it if it's free, or read the row.

        An unavailable platform changes nothing, and the lease expires by time.
        Raises PlatformError if the row can't be decoded.
        """
        if self.state is LeaseState.HELD and not self.held(now):
            self.fire(Trigger.LAPSE)
        self.date_row(now)
        if self.state is LeaseState.HELD and self.record is not None:
            # Writing the same record again changes the row's version, which renews it.
            await self.attempt(self.record, now)
            return
        if not self.may_acquire(now):
            await self.read_row()
        if self.may_acquire(now):
            await self.acquire(now)

    async def release(self, now: ids.Instant) -> None:
        """Release the lease, so that another participant can acquire it at once.

        Call it after the last order has ended. The row stays, because its
        number must never start again from the beginning. If the platform
        doesn't apply the write, the lease expires by time.
        """
        if not self.held(now) or self.record is None:
            return
        self.fire(Trigger.RELEASE)
        freed = msgspec.structs.replace(self.record, holder=NO_HOLDER)
        with contextlib.suppress(errors.PlatformError):
            await self.write(freed)
        self.forget_row()
        self.unsettled_since = None

    async def acquire(self, now: ids.Instant) -> None:
        """Try to become the holder, under the next number."""
        number = ids.FencingNumber(self.greatest_number + 1)
        await self.attempt(LeaseRecord(self.holder, number, self.duration), now)

    async def attempt(self, record: LeaseRecord, now: ids.Instant) -> None:
        """Write our record on condition that the row is the one last seen."""
        try:
            row = await self.write(record)
        except table.ConditionFailedError as error:
            self.observe(error.conflicts[0].row)
        except errors.PlatformUnavailableError:
            return
        except errors.OutcomeUnknownError:
            if self.unsettled_since is None:
                self.unsettled_since = now
            await self.read_row()
        else:
            self.adopt(row, record)
            self.hold_from(now)

    async def write(self, record: LeaseRecord) -> table.Row:
        """Write a record and return the row; raises the table's errors."""
        value = msgspec.json.encode(record)
        return await table.replace(self.rows, self.row, TABLE, self.name, value)

    async def read_row(self) -> None:
        """Read the row; an unavailable platform changes nothing."""
        try:
            row = await self.rows.read(TABLE, self.name)
        except errors.PlatformUnavailableError:
            return
        self.observe(row)

    def observe(self, row: table.Row | None) -> None:
        """Update the state from the row as it is in the table."""
        if row is None:
            self.forget_row()
            self.was_read = True
            self.fire(Trigger.FIND_NONE)
            return
        if self.row is not None and row.version == self.row.version:
            return
        record = decode(row)
        sent_at = self.unsettled_since
        self.adopt(row, record)
        if record.holder == self.holder and sent_at is not None:
            # One of the writes whose replies were lost was applied. Which one
            # isn't known, so the first one counts: no challenger could see
            # the row change before that was sent.
            self.hold_from(sent_at)
        elif record.holder == NO_HOLDER:
            self.fire(Trigger.FIND_NONE)
        else:
            self.fire(Trigger.FIND_HOLDER)

    def adopt(self, row: table.Row, record: LeaseRecord) -> None:
        """Store a changed row.

        Writes still in flight were conditional on the previous row, whose version
        never recurs: they can't be applied any more.
        """
        self.was_read = True
        self.row = row
        self.record = record
        self.unchanged_since = None
        self.unsettled_since = None
        self.greatest_number = max(self.greatest_number, record.number)

    def forget_row(self) -> None:
        """Discard the row, but keep the greatest fencing number."""
        self.was_read = False
        self.row = None
        self.record = None
        self.unchanged_since = None

    def hold_from(self, sent_at: ids.Instant) -> None:
        """Hold the lease, counted from before the write was sent."""
        self.held_until = ids.Instant(sent_at + self.duration - self.margin)
        self.fire(Trigger.WIN)

    def date_row(self, now: ids.Instant) -> None:
        """Date the row that the previous step has read.

        The start of that step is too early. The reply may have been delayed, and the
        row may have changed meanwhile: the challenger would count from before the
        holder's renewal and acquire the lease while it's held. By the start of the
        next step the row had certainly been received.
        """
        if self.row is not None and self.unchanged_since is None:
            self.unchanged_since = now

    def may_acquire(self, now: ids.Instant) -> bool:
        """Tell whether nobody can hold the lease, given an unchanged row."""
        if self.record is None:
            return self.was_read
        if self.record.holder == NO_HOLDER or self.state is LeaseState.LAPSED:
            return True
        if self.unchanged_since is None:
            return False
        return now - self.unchanged_since >= self.record.duration

    def fire(self, trigger: Trigger) -> None:
        """Apply a trigger through the shared machine."""
        MACHINE.events[trigger.value].trigger(self)


def decode(row: table.Row) -> LeaseRecord:
    """Return the record in a row; raises PlatformError."""
    try:
        return decoding.decode_json(row.value, LeaseRecord)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(
            f"the row of lease {row.key!r} can't be decoded: {error}",
            "Find out who wrote it; correct the row, and never lower its number.",
        ) from error
