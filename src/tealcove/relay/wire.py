"""What an instance adds to a request that another one is to send to a server."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec

from tealcove import decoding, errors
from tealcove.dispatch import messages

# Header of the request, and of an answer that isn't the server's.
ORDER = "Tealcove-Relay"
RESULT = "Tealcove-Relay-Result"
HEADERS = frozenset((ORDER.lower(), RESULT.lower()))


class Result(enum.Enum):
    """What a helper answers itself, in place of the server."""

    # Nothing was sent: the helper can't reach the server either.
    UNREACHABLE = "unreachable"
    # Nothing was sent: the helper stops, is busy, or mustn't use the server now.
    DECLINED = "declined"
    # A check found that the server accepts connections.
    REACHED = "reached"


class Order(msgspec.Struct, frozen=True):
    """Where a helper is to send a request, and how long its caller waits."""

    # The slot that the request holds.
    grant: messages.Grant
    # Seconds until the deadline.
    remaining: float
    # Only check whether the server accepts connections; nothing is sent to it.
    is_check: bool = False


def encode(order: Order) -> str:
    """Return the header's value for an order."""
    return msgspec.json.encode(order).decode()


def decode(headers: Mapping[str, str]) -> Order:
    """Return the order in a request's headers; raises PeerError."""
    try:
        return decoding.decode_json(headers.get(ORDER, ""), Order)
    except msgspec.MsgspecError as error:
        raise errors.PeerError(
            f"A request to pass on has no valid order: {error}",
            "Run the same version on all instances, or one next to it.",
        ) from error


def result_of(headers: Mapping[str, str]) -> Result | None:
    """Return a helper's own answer, or None if the answer is the server's."""
    found = headers.get(RESULT)
    if found is None:
        return None
    try:
        return Result(found)
    except ValueError:
        # A newer helper that declines for another reason.
        return Result.DECLINED
