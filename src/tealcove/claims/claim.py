"""The row that says who may run a non-idempotent request, and how it ended."""

from __future__ import annotations

import enum

import msgspec

from tealcove import ids

TABLE = "claims"
# Longer answers aren't kept: the rows of a batch travel in one transaction.
MAX_STORED_BYTES = 8 * 1024


class State(enum.Enum):
    """How far the claimed request has come."""

    # It may be dispatched, may run or may have ended: only its entry knows.
    CLAIMED = "claimed"
    COMPLETED = "completed"
    # It was dispatched and its end isn't known.
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The answer of a completed request, for a caller that sends it again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def fits_row(self) -> bool:
        """Tell whether the answer may be kept in the row."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body) <= MAX_STORED_BYTES


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """The row's content.

    Only the entry that wrote the nonce may dispatch the request, change the row
    or delete it, whatever becomes of that entry.
    """

    # Drawn for one request at one entry: it tells whose the claim is, also
    # after a lost reply and for an entry that was restarted under its old name.
    nonce: str
    entry: ids.InstanceId
    incarnation: ids.Incarnation
    request_id: ids.RequestId
    # The server of the grant; of the last one when the request was completed.
    server: ids.BackendServerId
    # Of method, path and body.
    fingerprint: str
    # Seconds of the entry's wall clock, for removing old rows only.
    claimed_at: float
    state: State = State.CLAIMED
    answer: StoredAnswer | None = None


def row_key(account: ids.AccountId, key: ids.IdempotencyKey) -> str:
    """Return the row's key; no account has a slash in its name."""
    return f"{account}/{key}"


def encode(claim: Claim) -> bytes:
    """Return the bytes of a row (MessagePack)."""
    return msgspec.msgpack.encode(claim)


def decode(content: bytes) -> Claim:
    """Return what a row holds."""
    return msgspec.msgpack.decode(content, type=Claim)
