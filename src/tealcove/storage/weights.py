"""The platform's rate-limited weight store, as an abstract base class."""

from __future__ import annotations

import abc


class WeightStore(abc.ABC):
    """Reserves loads of weights, so that all loads share one rate."""

    @abc.abstractmethod
    async def reserve(self, size: int) -> float:
        """Reserve a load of `size` bytes; return the seconds to wait before it.

        Raises PlatformUnavailableError (nothing is reserved) or
        OutcomeUnknownError. Asking again after the latter is safe: a
        reservation that isn't used only delays later loads.
        """
