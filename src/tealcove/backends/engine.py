"""Abstract base class for clients of model engines, and the types of its calls."""

from __future__ import annotations

import abc
import enum
from collections.abc import AsyncIterator, Callable

import msgspec

from tealcove import errors, ids


class NotDispatchedError(errors.BackendError):
    """No byte of the request was written to any backend server."""


class BrokenStreamError(errors.BackendError):
    """The response ended early; the backend server may still be running the request."""


class WrongAnswerError(errors.BackendError):
    """The response belongs to another request; no part of it may be forwarded."""


class RefusedCallError(errors.BackendError):
    """The backend server responded that it can't execute the call."""


class OldNumberError(RefusedCallError):
    """The engine has received an order with a higher fencing number."""


class OrderKind(enum.Enum):
    """The action that an order requests."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


class Order(msgspec.Struct, frozen=True):
    """The desired state of a model, an adapter or the role; idempotent."""

    fencing: ids.FencingNumber
    order: OrderKind
    # Name and version of a model or an adapter.
    name: str = ""
    version: str = ""
    role: str = ""


class Holding(msgspec.Struct, frozen=True):
    """An engine's models and adapters as versions by name, and its role."""

    models: dict[str, str]
    adapters: dict[str, str]
    role: str
    # The highest fencing number that it has received in an order.
    fencing: ids.FencingNumber = ids.FencingNumber(0)


class Server(msgspec.Struct, frozen=True):
    """A backend server's name and address."""

    name: ids.BackendServerId
    host: str
    port: int

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.host}:{self.port}"


class Completion(msgspec.Struct, frozen=True):
    """A request to generate text; `max_tokens` counts output tokens."""

    request_id: ids.RequestId
    model: str
    adapter: str | None
    prompt: str
    max_tokens: int


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a completed request."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class Chunk(msgspec.Struct, frozen=True):
    """Tokens `index` to `index + count` of a response; the last has `finish`."""

    index: int
    text: str = ""
    count: int = 1
    finish: str | None = None
    usage: Usage | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's load at some time in the past."""

    running: int
    waiting: int
    slots: int
    state: str = "serving"
    cached_blocks: int = 0
    cache_blocks: int = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache."""

    sequence: int
    kind: str
    blocks: tuple[int, ...]


class CacheEvents(msgspec.Struct, frozen=True):
    """Events after a sequence number; numbers may be missing."""

    events: tuple[CacheEvent, ...]
    last: int


class EngineClient(abc.ABC):
    """Client for calls to model engines."""

    @abc.abstractmethod
    def generate(
        self, server: Server, call: Completion, dispatched: Callable[[], None]
    ) -> AsyncIterator[Chunk]:
        """Dispatch a request and yield its response as it arrives.

        Calls `dispatched` once the server is connected, before the first byte is
        written. Raises NotDispatchedError (only if it wasn't called),
        BrokenStreamError, WrongAnswerError or RefusedCallError.
        """

    @abc.abstractmethod
    def resume(
        self, server: Server, request_id: ids.RequestId, offset: int
    ) -> AsyncIterator[Chunk]:
        """Yield the rest of a response from a token on; raises as `generate`."""

    @abc.abstractmethod
    async def cancel(self, server: Server, request_id: ids.RequestId) -> None:
        """Stop a request; raises BackendError when the engine can't be reached."""

    @abc.abstractmethod
    async def load(self, server: Server) -> LoadReport:
        """Return the engine's lagging load report; raises BackendError."""

    @abc.abstractmethod
    async def state(self, server: Server) -> str:
        """Return the current state, "serving" or "leaving"; raises BackendError."""

    @abc.abstractmethod
    async def cache_events(self, server: Server, after: int) -> CacheEvents:
        """Return the changes of the cache; raises BackendError."""

    @abc.abstractmethod
    async def holding(self, server: Server) -> Holding:
        """Return the current models, adapters and role; raises BackendError."""

    @abc.abstractmethod
    async def order(
        self,
        server: Server,
        order: Order,
        may_send: Callable[[], bool],
        timeout: float,
    ) -> None:
        """Return once an order is executed, or raise after `timeout` seconds.

        `may_send` is called once the server is connected, right before the order
        is written. Raises NotDispatchedError (it wasn't written completely),
        OldNumberError or RefusedCallError (it won't be executed). After any other
        BackendError it may still be executed later.
        """

    @abc.abstractmethod
    async def export_cache(self, server: Server, request_id: ids.RequestId) -> bytes:
        """Return a request's KV cache; raises RefusedCallError, BackendError."""

    @abc.abstractmethod
    async def import_cache(
        self, server: Server, request_id: ids.RequestId, content: bytes
    ) -> None:
        """Load a KV cache that another engine exported; raises BackendError."""
