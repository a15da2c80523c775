"""The limits for callers that follow from the machine of a process."""

from __future__ import annotations

import os
import resource

import msgspec

from tealcove import settings
from tealcove.callermemory import budget

BYTES_IN_MB = 1_000_000
# Descriptors for files, and the largest part of all that they are; sockets and pipes
# share the others.
FILE_DESCRIPTORS = 200
FILES_PART = 4
# Parts of these: connections of callers, and connections to each other listener that
# callers or instances reach. The rest is for servers, peers, the store and probes.
CALLERS_PART = 2
OTHERS_PART = 10
# Connections to a listener that only the platform or operators reach.
PROBE_CONNECTIONS = 16


class Connections(msgspec.Struct, frozen=True):
    """The most connections to each kind of listener."""

    callers: int
    # To the directory, and of instances that have requests passed on.
    others: int
    # Of the platform and of operators.
    probes: int


def memory_bytes(stated: settings.Machine) -> float:
    """Return the memory that the process may use, as stated or as the system says."""
    if stated.memory_mb:
        return stated.memory_mb * BYTES_IN_MB
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def caller_bytes(stated: settings.Machine) -> float:
    """Return the bytes that callers may make the process hold."""
    return budget.CALLERS_SHARE * memory_bytes(stated)


def new_budget(stated: settings.Machine) -> budget.Budget:
    """Return the budget for what callers make the process hold."""
    return budget.Budget(caller_bytes(stated))


def connections(stated: settings.Machine, most: int) -> Connections:
    """Return how many connections the descriptors allow, and `most` at most."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    found = stated.descriptors or soft
    if found == resource.RLIM_INFINITY:
        return Connections(most, most, PROBE_CONNECTIONS)
    sockets = found - min(FILE_DESCRIPTORS, found // FILES_PART)
    return Connections(
        callers=min(most, max(1, sockets // CALLERS_PART)),
        others=min(most, max(1, sockets // OTHERS_PART)),
        probes=PROBE_CONNECTIONS,
    )
