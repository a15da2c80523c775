"""Which addresses callers get, and whether this instance is ready."""

from __future__ import annotations

from tealcove import clock, ids
from tealcove.membership import members, messages
from tealcove.platform import directory

# So many instances of the caller's own data centre are enough for an answer: one
# may just have died, and bytes between data centres are paid for.
ENOUGH_NEAR = 2
MOST_ADDRESSES = 64


class MemberPlaces(directory.AddressSource):
    """Answers from the heartbeats."""

    def __init__(self, known: members.Members) -> None:
        self.members = known

    def addresses(self, data_centre: ids.DataCentreId) -> list[str]:
        """See AddressSource."""
        serving = self.members.serving(clock.now())
        near = [h for h in serving if h.data_centre == data_centre]
        chosen = near if len(near) >= ENOUGH_NEAR else serving
        return [f"{h.host}:{h.http_port}" for h in chosen[:MOST_ADDRESSES]]

    def is_ready(self) -> bool:
        """See AddressSource."""
        return self.members.own.lifecycle is messages.Lifecycle.SERVING
