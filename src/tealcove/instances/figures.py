"""The figures of this process from which its load is derived."""

from __future__ import annotations

import abc
import os
import pathlib
from collections.abc import Callable

import msgspec

STATM = pathlib.Path("/proc/self/statm")
DESCRIPTORS = pathlib.Path("/proc/self/fd")
# Position of the resident pages in `statm`.
RESIDENT = 1


class Traffic(msgspec.Struct):
    """Bytes sent to and received from callers, backend servers and peers."""

    sent: int = 0
    received: int = 0

    def forward(self, size: int) -> None:
        """Count a body that is received by this instance and sent on."""
        self.sent += size
        self.received += size


class Source(abc.ABC):
    """Reads the figures; None stands for one that can't be read."""

    @abc.abstractmethod
    def memory(self) -> float | None:
        """Return the resident memory in bytes."""

    @abc.abstractmethod
    def unread(self) -> float:
        """Return the bytes that wait until callers read them."""

    @abc.abstractmethod
    def descriptors(self) -> int | None:
        """Return the number of open file descriptors."""

    @abc.abstractmethod
    def traffic(self) -> Traffic:
        """Return the bytes sent and received since the start."""


class ProcessSource(Source):
    """Reads the figures of this process."""

    def __init__(
        self, read_unread: Callable[[], float], read_traffic: Callable[[], Traffic]
    ) -> None:
        self.read_unread = read_unread
        self.read_traffic = read_traffic
        self.page_bytes = os.sysconf("SC_PAGESIZE")

    def memory(self) -> float | None:
        """See Source."""
        try:
            return int(STATM.read_text().split()[RESIDENT]) * self.page_bytes
        except (OSError, ValueError, IndexError):
            return None

    def unread(self) -> float:
        """See Source."""
        return self.read_unread()

    def descriptors(self) -> int | None:
        """See Source."""
        try:
            return len(os.listdir(DESCRIPTORS))
        except OSError:
            return None

    def traffic(self) -> Traffic:
        """See Source."""
        return self.read_traffic()
