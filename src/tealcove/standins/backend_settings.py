"""Settings that the stand-ins of engines and of plain services share."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Slots = Annotated[int, msgspec.Meta(ge=1)]

# The id of answers that are spoilt to be another request's.
OTHER_ID = "req-of-someone-else"


class BackendState(enum.Enum):
    """What a backend server says of itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class Health(msgspec.Struct, frozen=True):
    """The state of now."""

    state: BackendState


class BackendSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """How a backend stand-in behaves; every field has a default."""

    host: str = "127.0.0.1"
    # 0: any free port, which the stand-in reports once it listens.
    port: Port = 0
    name: str = "backend"
    # Requests that run at once; the rest waits in order of arrival.
    slots: Slots = 8
    # Age of the load report.
    load_lag: Seconds = 1.0
    state: BackendState = BackendState.SERVING
    # After SIGTERM the server goes on listening for at least this long.
    linger_seconds: Seconds = 1.0
