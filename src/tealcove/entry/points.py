"""The addresses for callers: the answer of `GET /v1/entry-points`."""

from __future__ import annotations

import msgspec

from tealcove import ids, settings
from tealcove.membership import members

UNKNOWN_DELAY = 10.0
ROTATIONS_PER_SECOND = 1000


class EntryPoint(msgspec.Struct, frozen=True):
    """The address of an instance that accepts requests."""

    url: str
    instance: ids.InstanceId
    data_centre: ids.DataCentreId


class EntryPoints(msgspec.Struct, frozen=True):
    """Addresses in the order in which to try them."""

    entry_points: list[EntryPoint]
    # Seconds for which callers may cache the answer.
    ttl_seconds: float


def list_entry_points(
    known: members.Members, found: settings.Settings, now: ids.Instant
) -> EntryPoints:
    """Return the serving instances, the nearest data centre first.

    Within a data centre the order rotates between answers, so that callers that all
    use the first address spread over the instances.
    """
    scheme = "http" if found.http.tls is None else "https"
    serving = known.serving(now)
    rotation = int(now * ROTATIONS_PER_SECOND) % max(1, len(serving))
    rotated = serving[rotation:] + serving[:rotation]
    ordered = sorted(rotated, key=lambda h: distance(found, h.data_centre))
    points = [
        EntryPoint(f"{scheme}://{h.host}:{h.http_port}", h.instance, h.data_centre)
        for h in ordered
    ]
    return EntryPoints(points, found.shutdown.entry_points_ttl)


def distance(found: settings.Settings, other: ids.DataCentreId) -> float:
    """Return the delay to a data centre; an unknown one sorts last."""
    delay = found.delay_to(other)
    return UNKNOWN_DELAY if delay is None else delay
