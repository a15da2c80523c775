"""Authentication of operators, who are declared in the settings."""

from __future__ import annotations

import hmac

from aiohttp import web

from tealcove import bearer, settings
from tealcove.resources import refusals


class Operators:
    """Authenticates operators by the hashes of their bearer keys."""

    def __init__(self, declared: tuple[settings.Operator, ...]) -> None:
        self.declared = declared

    def authorise(self, request: web.Request) -> str:
        """Return the operator's name; raises UnauthorisedError.

        Compares every hash in constant time, so that the duration reveals nothing
        about a key.
        """
        header = request.headers.get("Authorization", "")
        key = header.removeprefix(bearer.PREFIX)
        found_hash = bearer.hash_key(key)
        name = ""
        for operator in self.declared:
            if hmac.compare_digest(operator.key_hash, found_hash):
                name = operator.name
        if not name or not header.startswith(bearer.PREFIX):
            raise refusals.UnauthorisedError(
                "the key is no operator's",
                'Send "Authorization: Bearer <key>" with a key of the settings\' '
                "operators; keys of client accounts don't serve here.",
            )
        return name
