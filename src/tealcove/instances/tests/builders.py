"""Test data of the load of instances."""

from __future__ import annotations

from tealcove import ids
from tealcove.instances import figures
from tealcove.membership import messages
from tealcove.membership.tests import builders


class FakeSource(figures.Source):
    """Returns the figures that a test sets."""

    def __init__(self) -> None:
        self.memory_bytes: float | None = 0.0
        self.unread_bytes = 0.0
        self.open: int | None = 0
        self.bodies = figures.Traffic()
        # How often the descriptors were counted.
        self.counts = 0

    def memory(self) -> float | None:
        return self.memory_bytes

    def unread(self) -> float:
        return self.unread_bytes

    def descriptors(self) -> int | None:
        self.counts += 1
        return self.open

    def traffic(self) -> figures.Traffic:
        return self.bodies


class FakeTransport:
    """A connection whose caller has left some bytes unread."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.is_aborted = False

    def get_write_buffer_size(self) -> int:
        return self.size

    def abort(self) -> None:
        self.is_aborted = True
        self.size = 0


def heartbeat(number: int, capacity: int = 0, **changes: object) -> messages.Heartbeat:
    found = builders.heartbeat(number)
    fields = {field: getattr(found, field) for field in found.__struct_fields__}
    return messages.Heartbeat(**{**fields, "capacity": capacity, **changes})


def instant(seconds: float) -> ids.Instant:
    return ids.Instant(1000.0 + seconds)
