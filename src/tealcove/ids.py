"""Identifiers, each with its own type so that they can't be confused."""

from __future__ import annotations

import secrets
from typing import NewType

# The name of an instance, chosen by an operator and unique in a deployment.
InstanceId = NewType("InstanceId", str)
# A random number generated at each start of an instance, so that a restarted instance
# is not confused with the one that had its name before.
Incarnation = NewType("Incarnation", str)
DataCentreId = NewType("DataCentreId", str)
AccountId = NewType("AccountId", str)
TierId = NewType("TierId", str)
PoolId = NewType("PoolId", str)
BackendServerId = NewType("BackendServerId", str)
# The Unix time in milliseconds at which a backend server says it started. A server may
# restart under the same id, and has then lost its state.
ServerStart = NewType("ServerStart", int)
# The start of a server that doesn't report it.
NO_START = ServerStart(0)
# The version of a backend server's software, not of the weights of its models.
SoftwareVersion = NewType("SoftwareVersion", str)
ModelId = NewType("ModelId", str)
AdapterId = NewType("AdapterId", str)
# A part of a prompt, which many requests may share; from the caller.
PartId = NewType("PartId", str)
# A request from acceptance to final answer; backend servers return its id.
RequestId = NewType("RequestId", str)
# One entry of a request in a dispatcher's queue.
TicketId = NewType("TicketId", str)
# At most 16 backend servers of one pool: "<pool>/<number>".
CellId = NewType("CellId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
# The position of a change in the log of configuration changes; 0 if there is none yet.
# For what the platform's store gives out, see storage.revisions.
Revision = NewType("Revision", int)
# Rises each time that the platform's store returns from a copy; 0: it names none.
Era = NewType("Era", int)
NO_ERA = Era(0)
FencingNumber = NewType("FencingNumber", int)
# Seconds of the monotonic clock; comparable only within one process.
Instant = NewType("Instant", float)

RANDOM_BYTES = 10


def new_incarnation() -> Incarnation:
    """Generate the incarnation of a starting instance."""
    return Incarnation(secrets.token_hex(RANDOM_BYTES))


def new_request_id() -> RequestId:
    """Generate a unique request id."""
    return RequestId(f"req-{secrets.token_hex(RANDOM_BYTES)}")


def new_ticket_id() -> TicketId:
    """Generate a unique ticket id."""
    return TicketId(f"tkt-{secrets.token_hex(RANDOM_BYTES)}")
