"""Reads what backend servers state in the headers of their answers."""

from __future__ import annotations

import aiohttp
import msgspec

from tealcove import count
from tealcove.dispatch import statedload, statements
from tealcove.platform import names

HTTP_UNAVAILABLE = 503
LEAVING_VALUE = "1"
# Longest rest in seconds that counts. A server that garbled its header would otherwise
# get no requests for good.
MAX_REST_SECONDS = 3600.0


class StatedNumber(msgspec.Struct, frozen=True):
    """A limit that a response states."""

    # None: there is no limit.
    value: float | None


def statement_of(response: aiohttp.ClientResponse) -> statements.Statement:
    """Return what a response states about further requests to its server."""
    return statements.Statement(
        limit=stated_limit(response),
        is_leaving=is_leaving(response),
        rest=stated_rest(response),
        rejections=stated_rejections(response),
        load=statedload.decode(values_of(response, names.LOAD)),
    )


def stated_limit(response: aiohttp.ClientResponse) -> statements.RequestLimit | None:
    """Return what a response says of its server's limit on requests, if anything."""
    stated = stated_number(response, names.REQUEST_LIMIT)
    return None if stated is None else statements.RequestLimit(stated.value)


def stated_rejections(
    response: aiohttp.ClientResponse,
) -> statements.RejectionLimit | None:
    """Return how many requests its server says it may reject, if it says anything."""
    stated = stated_number(response, names.BRITTLE)
    return None if stated is None else statements.RejectionLimit(stated.value)


def stated_number(response: aiohttp.ClientResponse, name: str) -> StatedNumber | None:
    """Return what a response says of a limit; None if it says nothing.

    Only a success without the header ends a limit: errors may come from a part of the
    server that doesn't know of it.
    """
    written = response.headers.get(name)
    if written is None:
        return StatedNumber(None) if response.ok else None
    found = count.read_number(written)
    return None if found is None else StatedNumber(found)


def is_leaving(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response says that its server leaves."""
    return LEAVING_VALUE in values_of(response, names.LEAVING)


def stated_rest(response: aiohttp.ClientResponse) -> float:
    """Return for how many seconds the server wants no requests; 0 if not stated.

    A rejection may name the time. Of several, the longest counts; a date or any other
    text doesn't.
    """
    if response.status != HTTP_UNAVAILABLE:
        return 0.0
    seconds = map(count.read_number, values_of(response, names.RETRY_AFTER))
    longest = max((found for found in seconds if found is not None), default=0.0)
    return min(MAX_REST_SECONDS, longest)


def values_of(response: aiohttp.ClientResponse, name: str) -> list[str]:
    """Return the values of a header, which may be repeated or hold a list."""
    lines = response.headers.getall(name, ())
    return [value.strip() for line in lines for value in line.split(",")]
