"""Base class of the injectors of related faults."""

from __future__ import annotations

import random

from soak import deployment, disturbances


class Injector:
    """Injects faults into a deployment, drawn from a source that a seed determines."""

    def __init__(
        self,
        running: deployment.Deployment,
        source: random.Random,
        log: disturbances.DisturbanceLog,
    ) -> None:
        self.running = running
        self.random = source
        self.disturbances = log
