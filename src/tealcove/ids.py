"""Identifiers, each a type of its own so that they can't be swapped."""

from __future__ import annotations

import secrets
from typing import NewType

# A name that an operator chose for a process of ours; unique in a deployment.
InstanceId = NewType("InstanceId", str)
# A random number drawn at each start of an instance, so that a restarted
# instance is never taken for the one that held its name before.
Incarnation = NewType("Incarnation", str)
DataCentreId = NewType("DataCentreId", str)
AccountId = NewType("AccountId", str)
TierId = NewType("TierId", str)
PoolId = NewType("PoolId", str)
BackendServerId = NewType("BackendServerId", str)
# The Unix millisecond at which a backend server started, by its own word: it may
# start again under its id, and then knows nothing of before.
ServerStart = NewType("ServerStart", int)
# The start of a server that doesn't tell.
NO_START = ServerStart(0)
ModelId = NewType("ModelId", str)
AdapterId = NewType("AdapterId", str)
# One request from acceptance to final answer; backend servers echo it.
RequestId = NewType("RequestId", str)
# One stay of a request in a dispatcher's queue.
TicketId = NewType("TicketId", str)
# At most 16 backend servers of one pool: "<pool>/<number>".
CellId = NewType("CellId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
# The position of a change in the log of configuration changes; 0 is "nothing yet".
Revision = NewType("Revision", int)
FencingNumber = NewType("FencingNumber", int)
# Seconds of a monotonic clock; comparable only within one process.
Instant = NewType("Instant", float)

RANDOM_BYTES = 10


def new_incarnation() -> Incarnation:
    """Draw the incarnation of a starting process."""
    return Incarnation(secrets.token_hex(RANDOM_BYTES))


def new_request_id() -> RequestId:
    """Draw a request id that no other request has."""
    return RequestId(f"req-{secrets.token_hex(RANDOM_BYTES)}")


def new_ticket_id() -> TicketId:
    """Draw a ticket id that no other ticket has."""
    return TicketId(f"tkt-{secrets.token_hex(RANDOM_BYTES)}")
