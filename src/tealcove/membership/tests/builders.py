"""Test data of membership."""

from __future__ import annotations

from tealcove import ids, stalls
from tealcove.membership import members, messages

SUSPECT_AFTER = 1.0
FORGET_AFTER = 10.0


def heartbeat(
    number: int,
    incarnation: str = "first",
    lifecycle: messages.Lifecycle = messages.Lifecycle.SERVING,
    data_centre: str = "dc-1",
    revision: int = 1,
    strength: int = 0,
) -> messages.Heartbeat:
    """Return a heartbeat of instance `i-<number>`."""
    return messages.Heartbeat(
        instance=ids.InstanceId(f"i-{number}"),
        incarnation=ids.Incarnation(incarnation),
        lifecycle=lifecycle,
        data_centre=ids.DataCentreId(data_centre),
        host="127.0.0.1",
        http_port=7000 + number,
        peer_host="127.0.0.2",
        peer_port=8000 + number,
        revision=ids.Revision(revision),
        strength=strength,
    )


def known(number: int = 0, own_stalls: stalls.Stalls | None = None) -> members.Members:
    """Return the membership table of a new serving instance."""
    return members.Members(heartbeat(number), SUSPECT_AFTER, FORGET_AFTER, own_stalls)


def names(found: list[messages.Heartbeat]) -> set[str]:
    """Return the names of the instances."""
    return {each.instance for each in found}
