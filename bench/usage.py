"""Measures the processor time and the slots used while requests are sent."""

from __future__ import annotations

import time

import msgspec
import psutil

from bench import fleet


class Usage(msgspec.Struct, frozen=True):
    """The fields of the same names of a run's result."""

    cores: dict[str, float]
    machine: float
    busy: float


class UsageMeter:
    """Measures a deployment's usage from its creation on."""

    def __init__(self, deployed: fleet.Fleet) -> None:
        self.fleet = deployed
        self.before = deployed.cpu_seconds()
        self.own_before = own_cpu_seconds()
        psutil.cpu_percent()

    async def read(self, start: float) -> Usage:
        """Return the usage; `start` is the time of the first request."""
        passed = time.monotonic() - start
        cores = self.cores(passed)
        machine = psutil.cpu_percent() / 100.0
        taken = sum(c.slot_seconds for c in await self.fleet.engine_counts())
        slots = sum(engine.slots for engine in self.fleet.plan.engines)
        return Usage(cores=cores, machine=machine, busy=taken / (slots * passed))

    def cores(self, seconds: float) -> dict[str, float]:
        """Return the cores that each kind of process used."""
        cores = {"callers": (own_cpu_seconds() - self.own_before) / seconds}
        for name, value in self.fleet.cpu_seconds().items():
            kind = name.partition("-")[0]
            used = max(0.0, value - self.before.get(name, 0.0)) / seconds
            cores[kind] = cores.get(kind, 0.0) + used
        return {kind: round(value, 3) for kind, value in cores.items()}


def own_cpu_seconds() -> float:
    """Return this process's processor time in seconds."""
    times = psutil.Process().cpu_times()
    return times.user + times.system
