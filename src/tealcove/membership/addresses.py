"""Interface to the addresses that callers are told."""

from __future__ import annotations

import abc

from tealcove import ids


class AddressSource(abc.ABC):
    """Provides the addresses of instances and this instance's readiness."""

    @abc.abstractmethod
    def addresses(self, data_centre: ids.DataCentreId, caller: str = "") -> list[str]:
        """Return the addresses ("ip:port") for a caller in a data centre.

        `caller` is the caller's IP number; empty if unknown.
        """

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Return whether this instance accepts requests."""
