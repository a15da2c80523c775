"""What a process uses: processor time, memory, bytes over TCP."""

from __future__ import annotations

import asyncio
import itertools
import re
import time

import msgspec
import psutil

MIB = 2**20
# Bytes of the IP and TCP headers, with timestamps, of each packet.
PACKET_BYTES = 52
SOCKET_LIST_COMMAND = ("ss", "-t", "-i", "-n", "-p", "-H")
COUNTERS = {
    "sent": re.compile(r"\bbytes_sent:(\d+)"),
    "received": re.compile(r"\bbytes_received:(\d+)"),
    "packets_out": re.compile(r"\bsegs_out:(\d+)"),
    "packets_in": re.compile(r"\bsegs_in:(\d+)"),
}

# The counters of one connection, by name.
Counters = dict[str, int]


class Sample(msgspec.Struct, frozen=True):
    """A process's resource use up to an instant; bytes by connection."""

    at: float
    cpu: float
    memory: int
    descriptors: int
    connections: dict[str, Counters]


class Use(msgspec.Struct, frozen=True):
    """A process's use per second in a period; memory and descriptors at its end.

    Bytes are those of the TCP streams; `wire` adds the headers of all packets.
    """

    core_percent: float
    sent: float
    received: float
    wire_out: float
    wire_in: float
    memory_mib: float
    descriptors: int


async def sample(pid: int) -> Sample:
    """Return what a process has used up to now."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Sample(
        at=time.monotonic(),
        cpu=times.user + times.system,
        memory=process.memory_info().rss,
        descriptors=process.num_fds(),
        connections=await connections(pid),
    )


async def connections(pid: int) -> dict[str, Counters]:
    """Return the counters of a process's connections, as the system keeps them."""
    process = await asyncio.create_subprocess_exec(
        *SOCKET_LIST_COMMAND,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    output, _ = await process.communicate()
    return parse_sockets(output.decode(), pid)


def parse_sockets(output: str, pid: int) -> dict[str, Counters]:
    """Read the listing: a line for each connection, then one with its counters."""
    found = {}
    lines = output.splitlines()
    for line, details in itertools.pairwise(lines):
        if f"pid={pid}," not in line:
            continue
        local, remote = line.split()[3:5]
        matches = {name: p.search(details) for name, p in COUNTERS.items()}
        found[f"{local} {remote}"] = {
            name: int(match.group(1)) if match else 0 for name, match in matches.items()
        }
    return found


def use_between(first: Sample, last: Sample) -> Use:
    """Return what was used between two samples."""
    seconds = last.at - first.at
    sums = dict.fromkeys(COUNTERS, 0)
    for name, counters in last.connections.items():
        before = first.connections.get(name, {})
        for counter, value in counters.items():
            sums[counter] += value - before.get(counter, 0)
    sent, received = sums["sent"] / seconds, sums["received"] / seconds
    return Use(
        core_percent=(last.cpu - first.cpu) / seconds * 100,
        sent=sent,
        received=received,
        wire_out=sent + sums["packets_out"] * PACKET_BYTES / seconds,
        wire_in=received + sums["packets_in"] * PACKET_BYTES / seconds,
        memory_mib=last.memory / MIB,
        descriptors=last.descriptors,
    )


async def measure_use(pid: int, seconds: float) -> Use:
    """Return what a process uses in the coming seconds."""
    first = await sample(pid)
    await asyncio.sleep(seconds)
    return use_between(first, await sample(pid))


def format_use(found: Use) -> str:
    """Return a use as printed text."""
    return (
        f"{found.core_percent:.2f}% of a core, "
        f"out {found.sent / 1000:.2f} and in {found.received / 1000:.2f} KB/s "
        f"(with packet headers {found.wire_out / 1000:.1f} and "
        f"{found.wire_in / 1000:.1f}), {found.memory_mib:.1f} MiB, "
        f"{found.descriptors} descriptors"
    )
