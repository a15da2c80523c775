"""Changes of resources: one transaction each, robust against lost replies."""

from __future__ import annotations

import asyncio
import hashlib
import random
import secrets

import msgspec

from tealcove import decoding, errors, ids
from tealcove.resources import codec, copy, decision, kinds, log, refusals
from tealcove.storage import objects, table

NONCE_BYTES = 12
# Attempts per change; one fails by a concurrent writer or has an unknown outcome.
ATTEMPTS = 20
# Maximum back-off in seconds before the second attempt; doubles for each further one.
FIRST_BACKOFF = 0.01
MAX_BACKOFF = 0.5


class IdempotencyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The row that gives a repeated change the same answer, for encoding."""

    fingerprint: str
    revision: ids.Revision
    created: bool
    resource: kinds.Resource | None


class StoredIdempotencyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The same row with the spec of its resource undecoded."""

    fingerprint: str
    revision: ids.Revision
    created: bool
    resource: codec.StoredResource | None


class Attempt(msgspec.Struct, frozen=True):
    """A transaction and its outcome if it is applied."""

    transaction: table.Transaction
    change: codec.Change
    outcome: decision.Outcome


class InDoubtAttempt(msgspec.Struct, frozen=True):
    """An attempt of unknown outcome because its reply was lost."""

    outcome: decision.Outcome
    error: errors.OutcomeUnknownError


def fingerprint(request: decision.ChangeRequest) -> str:
    """Return a digest that is the same only for a repeat of the change."""
    target = f"{request.kind.value}/{request.name} {request.if_match} "
    return hashlib.sha256(target.encode() + request.edit.describe()).hexdigest()


def idempotency_row(request: decision.ChangeRequest) -> str:
    """Return the key of the idempotency row, or "" if the caller sent no key."""
    if request.idempotency_key is None:
        return ""
    digest = hashlib.sha256(request.idempotency_key.encode()).hexdigest()
    return f"{request.operator}/{digest}"


class ResourceStore:
    """Writes resources to the platform's table; any instance may do so."""

    def __init__(
        self,
        rows: table.TableService,
        store: objects.ObjectStore,
        local_copy: copy.ConfigurationCopy,
    ) -> None:
        self.rows = rows
        self.copy = local_copy
        self.log = log.ConfigurationLog(rows, store)
        # Serialises the changes of one instance, which would otherwise fail each
        # other's transactions by the condition on the head.
        self.write_lock = asyncio.Lock()

    async def change(self, request: decision.ChangeRequest) -> decision.Outcome:
        """Apply a change exactly once, or raise.

        Raises ResourceError or PlatformUnavailableError (nothing was applied), or
        OutcomeUnknownError (the platform failed before the outcome could be
        determined; a repeat with the same Idempotency-Key determines it).
        """
        async with self.write_lock:
            return await ChangeWriter(self, request).run()

    def apply_locally(self, change: codec.Change) -> None:
        """Put a committed change in force here at once, for the caller to read."""
        configuration = self.copy.current
        if configuration.revision + 1 == change.revision:
            self.copy.activate(configuration.with_changes([change]))


class ChangeWriter:
    """Writes one change, in as many attempts as it needs."""

    def __init__(self, store: ResourceStore, request: decision.ChangeRequest) -> None:
        self.store = store
        self.request = request
        self.nonce = secrets.token_hex(NONCE_BYTES)
        self.idempotency_row = idempotency_row(request)
        self.fingerprint = fingerprint(request)
        self.in_doubt: InDoubtAttempt | None = None

    async def run(self) -> decision.Outcome:
        """Repeat attempts until the change is applied or refused."""
        for number in range(ATTEMPTS):
            if number:
                await back_off(number)
            try:
                outcome = await self.attempt()
            except errors.PlatformUnavailableError as error:
                if self.in_doubt is None:
                    raise
                raise self.outcome_unknown() from error
            if outcome is not None:
                return outcome
        if self.in_doubt is not None:
            raise self.outcome_unknown()
        raise refusals.BusyError(
            f"other changes were faster {ATTEMPTS} times in a row",
            "Repeat the change; nothing of it was applied.",
        )

    def outcome_unknown(self) -> errors.OutcomeUnknownError:
        """Return the error for an attempt in doubt that couldn't be resolved."""
        request = self.request
        return errors.OutcomeUnknownError(
            f"the platform didn't say whether the change of {request.kind.value}/"
            f"{request.name} was applied",
            "Repeat it with the same Idempotency-Key, or read the resource first.",
        )

    async def attempt(self) -> decision.Outcome | None:
        """Make one attempt; return None if another one is needed.

        The head is read before an attempt in doubt is resolved: its transaction may
        still be in flight, and only a head at or beyond its revision shows that it
        was applied or never will be.
        """
        head_row = await self.store.log.read_head()
        settled = await self.resolve_in_doubt(head_row.head)
        if settled is not None:
            return settled
        recorded = await self.recorded_outcome()
        if recorded is not None:
            return recorded
        await self.store.log.advance(self.store.copy, head_row.head)
        configuration = self.store.copy.current
        if configuration.revision != head_row.head.revision:
            await self.store.log.check_not_restored(self.store.copy)
            return None
        outcome = decision.decide(self.request, configuration)
        if self.request.dry_run:
            return outcome
        return await self.commit(await self.prepare(head_row, outcome))

    async def resolve_in_doubt(self, head: log.Head) -> decision.Outcome | None:
        """Return the outcome of an attempt in doubt if it was applied, or None."""
        in_doubt = self.in_doubt
        if in_doubt is None or head.revision < in_doubt.outcome.revision:
            return None
        change = await self.store.log.change(in_doubt.outcome.revision)
        if change is None:
            raise self.outcome_unknown() from in_doubt.error
        self.in_doubt = None
        return in_doubt.outcome if change.nonce == self.nonce else None

    async def recorded_outcome(self) -> decision.Outcome | None:
        """Return the outcome of an earlier call with the same key, or None."""
        if not self.idempotency_row:
            return None
        row = await self.store.rows.read(log.IDEMPOTENCY, self.idempotency_row)
        if row is None:
            return None
        try:
            recorded = decoding.decode_json(row.value, StoredIdempotencyRecord)
        except msgspec.MsgspecError as error:
            raise errors.PlatformError(
                f"the record of an earlier call can't be decoded: {error}",
                f"Delete its row in {log.IDEMPOTENCY}, or draw a new Idempotency-Key.",
            ) from error
        if recorded.fingerprint != self.fingerprint:
            raise refusals.IdempotencyMismatchError(
                f"this Idempotency-Key was used for another change, revision "
                f"{recorded.revision}",
                "Draw a new Idempotency-Key for each change.",
            )
        resource = None
        if recorded.resource is not None:
            resource = codec.decode_stored_resource(recorded.resource)
        return decision.Outcome(
            revision=recorded.revision, created=recorded.created, resource=resource
        )

    async def prepare(
        self, head_row: log.HeadRow, outcome: decision.Outcome
    ) -> Attempt:
        """Build the transaction of one attempt."""
        key = log.resource_key(self.request.kind, self.request.name)
        row = await self.store.rows.read(log.RESOURCES, key)
        conditions = [head_row.unchanged, table.unchanged(row, log.RESOURCES, key)]
        change = self.change(outcome)
        head = msgspec.structs.replace(head_row.head, revision=outcome.revision)
        change_key = log.change_key(outcome.revision)
        writes = [
            table.Put(log.HEADS, log.HEAD_KEY, codec.encode(head)),
            table.Put(log.CHANGES, change_key, codec.encode(change)),
            write_for(key, outcome.resource),
        ]
        if self.idempotency_row:
            conditions.append(table.Absent(log.IDEMPOTENCY, self.idempotency_row))
            writes.append(self.record(outcome))
        transaction = table.Transaction(tuple(conditions), tuple(writes))
        return Attempt(transaction, change, outcome)

    def change(self, outcome: decision.Outcome) -> codec.Change:
        """Return the entry for the change log."""
        request = self.request
        return codec.Change(
            revision=outcome.revision,
            kind=request.kind,
            name=request.name,
            changed_by=request.operator,
            nonce=self.nonce,
            idempotency_row=self.idempotency_row,
            resource=outcome.resource,
        )

    def record(self, outcome: decision.Outcome) -> table.Put:
        """Return the write of the idempotency row."""
        recorded = IdempotencyRecord(
            fingerprint=self.fingerprint,
            revision=outcome.revision,
            created=outcome.created,
            resource=outcome.resource,
        )
        return table.Put(log.IDEMPOTENCY, self.idempotency_row, codec.encode(recorded))

    async def commit(self, attempt: Attempt) -> decision.Outcome | None:
        """Commit; return None if the head has changed or the reply was lost."""
        try:
            await self.store.rows.commit(attempt.transaction)
        except table.ConditionFailedError as error:
            if all(conflict.index != 0 for conflict in error.conflicts):
                raise
            return None
        except errors.OutcomeUnknownError as error:
            self.in_doubt = InDoubtAttempt(attempt.outcome, error)
            return None
        self.in_doubt = None
        self.store.apply_locally(attempt.change)
        return attempt.outcome


def write_for(key: str, resource: kinds.Resource | None) -> table.Put | table.Delete:
    """Return the write of a resource, or its deletion if None."""
    if resource is None:
        return table.Delete(log.RESOURCES, key)
    return table.Put(log.RESOURCES, key, codec.encode(resource))


async def back_off(number: int) -> None:
    """Wait before another attempt, with jitter so that writers don't collide again."""
    max_pause = min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** (number - 1))
    await asyncio.sleep(random.uniform(0, max_pause))
