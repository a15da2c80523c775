"""What an instance can carry, as its heartbeat states it."""

from __future__ import annotations

from tealcove.membership import messages

# Capacity and headroom are stated in hundredths.
HUNDREDTHS = 100
# Part of a weight that an instance without headroom keeps, in hundredths: if all are
# overloaded, they still share callers by their capacity.
MIN_HEADROOM = 1
# What an instance states while it refuses new requests. Its own steps end above, and an
# older release never states it.
REFUSING = 0


def of_machine(processor: float, link: float) -> int:
    """Return the capacity in hundredths of the weakest machine's.

    `processor` and `link` are multiples of what that machine has. Each request uses
    both, so that the scarcer one limits how many an instance can carry.
    """
    return max(1, round(min(processor, link) * HUNDREDTHS))


def stated(heartbeat: messages.Heartbeat) -> int:
    """Return an instance's capacity; by its classes if an older release runs there."""
    if heartbeat.capacity > 0:
        return heartbeat.capacity
    lower = min(heartbeat.strength, heartbeat.link_class)
    return of_machine(2.0**lower, 2.0**lower)


def has_room(heartbeat: messages.Heartbeat) -> bool:
    """Tell whether an instance accepts new requests, as far as it has stated."""
    return heartbeat.headroom > REFUSING


def weight(heartbeat: messages.Heartbeat) -> int:
    """Return an instance's weight among others when callers are distributed."""
    return stated(heartbeat) * max(MIN_HEADROOM, heartbeat.headroom)
