"""The platform's object store, as an abstract base class."""

from __future__ import annotations

import abc


class ObjectStore(abc.ABC):
    """Stores objects by name; a put replaces the object atomically."""

    @abc.abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Store an object; raises PlatformUnavailableError, OutcomeUnknownError."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or None; raises PlatformUnavailableError."""

    @abc.abstractmethod
    async def delete(self, name: str) -> None:
        """Delete an object; no error when it's absent."""
