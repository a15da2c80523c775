"""The addresses that callers are given, and whether this instance is ready."""

from __future__ import annotations

from tealcove import clock, ids
from tealcove.membership import addresses, members, messages

# An answer names only instances of the caller's data centre if there are this many:
# one of them may have just crashed, and traffic between data centres is charged.
ENOUGH_LOCAL = 2
MAX_ADDRESSES = 64


class MemberAddresses(addresses.AddressSource):
    """Finds addresses and readiness in the membership."""

    def __init__(self, known: members.Members) -> None:
        self.members = known

    def addresses(self, data_centre: ids.DataCentreId) -> list[str]:
        """Return the addresses for a caller of a data centre."""
        serving = self.members.serving(clock.now())
        local = [h for h in serving if h.data_centre == data_centre]
        chosen = local if len(local) >= ENOUGH_LOCAL else serving
        return [f"{h.host}:{h.http_port}" for h in chosen[:MAX_ADDRESSES]]

    def is_ready(self) -> bool:
        """Return whether this instance is serving."""
        return self.members.own.lifecycle is messages.Lifecycle.SERVING
