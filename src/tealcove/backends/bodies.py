"""Reads bodies of responses whole, up to a length."""

from __future__ import annotations

import aiohttp

# The most bytes of a body that is read whole, unless the caller names another number.
MAX_BYTES = 8 * 2**20


async def read(response: aiohttp.ClientResponse, most: int = MAX_BYTES) -> bytes:
    """Return a body; raises aiohttp.ClientPayloadError if it has more bytes."""
    found = bytearray()
    async for part in response.content.iter_any():
        found += part
        if len(found) > most:
            raise aiohttp.ClientPayloadError(f"the body has more than {most} bytes")
    return bytes(found)
