"""Base class of the injectors of related faults."""

from __future__ import annotations

import random

import msgspec

from soak import deployment, disturbances


class Context(msgspec.Struct, frozen=True):
    """What all injectors of a soak share."""

    running: deployment.Deployment
    # Faults are drawn from it; the seed determines it.
    random: random.Random
    disturbances: disturbances.DisturbanceLog


class Injector:
    """Injects faults into a deployment."""

    def __init__(self, context: Context) -> None:
        self.running = context.running
        self.random = context.random
        self.disturbances = context.disturbances
