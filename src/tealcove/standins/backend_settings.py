"""Settings that the engine and service stand-ins share."""

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

# The request id of answers with the fault `wrong_id` or `wrong_event_id`.
OTHER_ID = "req-of-someone-else"


class BackendState(enum.Enum):
    """The state that a backend server reports."""

    SERVING = "serving"
    LEAVING = "leaving"


class Health(msgspec.Struct, frozen=True):
    """The present state, as /health answers it."""

    state: BackendState


class BackendSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of a backend stand-in; every field has a default."""

    host: str = "127.0.0.1"
    # 0: any free port, which the stand-in reports once it is listening.
    port: Port = 0
    name: str = "backend"
    # Requests that run concurrently; the rest wait in order of arrival.
    slots: Slots = 8
    # Seconds by which the load report lags.
    load_lag: Seconds = 1.0
    state: BackendState = BackendState.SERVING
    # Minimum time that the server keeps listening after SIGTERM.
    linger_seconds: Seconds = 1.0
