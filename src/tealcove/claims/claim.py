"""Claim rows: which entry may run a non-idempotent request, and how it ended."""

from __future__ import annotations

import enum

import msgspec

from tealcove import decoding, errors, ids

TABLE = "claims"
# Longer answers aren't stored: all rows of a batch are in one transaction.
MAX_STORED_BYTES = 8 * 1024


class State(enum.Enum):
    """The state of a claimed request."""

    # It may be waiting, running or finished: only its entry knows.
    CLAIMED = "claimed"
    COMPLETED = "completed"
    # It was dispatched and its outcome isn't known.
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The answer of a completed request, for a caller that repeats it."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def fits_row(self) -> bool:
        """Return whether the answer is short enough to be stored in the row."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body) <= MAX_STORED_BYTES


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """The content of a claim row.

    Only the entry that wrote the nonce may dispatch the request, change the row
    or delete it, whatever becomes of that entry.
    """

    # Unique for one request at one entry: it identifies the owner of the claim, also
    # after a lost reply and for an entry that was restarted under the same name.
    nonce: str
    entry: ids.InstanceId
    incarnation: ids.Incarnation
    request_id: ids.RequestId
    # The server of the grant; once completed, the server of the last grant.
    server: ids.BackendServerId
    # A digest of method, path and body.
    fingerprint: str
    # Seconds of the entry's wall clock; used only to remove old rows.
    claimed_at: float
    state: State = State.CLAIMED
    answer: StoredAnswer | None = None


def row_key(account: ids.AccountId, key: ids.IdempotencyKey) -> str:
    """Return the key of a row; account names contain no slash."""
    return f"{account}/{key}"


def encode(claim: Claim) -> bytes:
    """Encode a claim as the value of a row (MessagePack)."""
    return msgspec.msgpack.encode(claim)


def decode(content: bytes) -> Claim:
    """Decode the value of a row; raises PlatformError."""
    try:
        return decoding.decode_msgpack(content, Claim)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(
            f"a claim can't be decoded: {error}",
            f"Find out who wrote the row in {TABLE}; delete it when no request has "
            "that key.",
        ) from error
