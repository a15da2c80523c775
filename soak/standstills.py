"""Finds instances that stood still since the machine was busy, by their own logs."""

from __future__ import annotations

import datetime
import re
import time

import msgspec

from soak import deployment, disturbances
from tealcove import clock, ids

# Seconds from which on a standstill disturbs: peers suspect an instance that is silent
# for a second, and two dispatchers then grant the same slots.
MIN_SECONDS = 0.5
MESSAGE = re.compile(r"stood still for ([0-9.]+) s")


class Line(msgspec.Struct):
    """A line of an instance's log."""

    time: datetime.datetime
    message: str


def record(running: deployment.Deployment, log: disturbances.DisturbanceLog) -> None:
    """Record the standstills of all instances as disturbances of their processes."""
    offset = time.time() - clock.now()
    for member in running.members:
        part = disturbances.process_of(member.name)
        for text in member.log.read_bytes().splitlines():
            if b"stood still" not in text:
                continue
            line = msgspec.json.decode(text, type=Line)
            found = MESSAGE.search(line.message)
            if found is None or float(found[1]) < MIN_SECONDS:
                continue
            ended = ids.Instant(line.time.timestamp() - offset)
            began = ids.Instant(ended - float(found[1]))
            log.disturbances.append(disturbances.Disturbance(part, began, ended))
