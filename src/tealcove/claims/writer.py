"""The writer role: collects changes of claims and commits them in batches."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import errors, ids, tasks
from tealcove.claims import claim, messages
from tealcove.membership import members
from tealcove.peers import mesh
from tealcove.storage import table

log = logbook.Logger("claims")

# The maximum of rows in one transaction.
MAX_ROWS = 128
# Commits of a change without a reply, after which the entry gets UNSETTLED.
MAX_COMMITS = 3


class Pending:
    """A change that hasn't been answered yet."""

    def __init__(self, change: messages.RowChange, entry: ids.InstanceId) -> None:
        self.change = change
        self.entry = entry
        # The number of commits whose reply was lost.
        self.lost_replies = 0


class Writer:
    """Commits pending changes at most once in each batch interval.

    Any number of writers may run at once and get the same change: the row's condition
    decides, and a row that already holds the intended bytes counts as written, since
    the nonce in them is unique to one request.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        rows: table.TableService,
        batch_interval: float,
    ) -> None:
        self.transport = transport
        self.members = known
        self.rows = rows
        self.batch_interval = batch_interval
        self.pending: dict[str, Pending] = {}
        self.arrived = asyncio.Event()
        # For the metrics: transactions, and changes committed by them.
        self.batches = 0
        self.committed = 0
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Register the handler of changes and start to commit them."""
        self.transport.handle(messages.RowChange, self.handle_change)
        self.task = tasks.start_loop(self.run, "batches of claims")

    async def stop(self) -> None:
        """Stop the task; entries send unanswered changes to another writer."""
        if self.task is not None:
            await tasks.stop([self.task])

    def handle_change(self, sender: ids.InstanceId, change: messages.RowChange) -> None:
        """Add a change to the pending ones, unless it is pending already."""
        self.pending.setdefault(change.change_id, Pending(change, sender))
        self.arrived.set()

    async def run(self) -> None:
        """Commit a batch in each interval that has pending changes."""
        while True:
            await self.arrived.wait()
            await asyncio.sleep(self.batch_interval)
            try:
                await self.commit_batch()
            except Exception:
                # If this task ended, the instance would stay in the ranking and
                # accept changes that it never answers.
                log.exception("a batch of claims failed")
            if not self.pending:
                self.arrived.clear()

    async def commit_batch(self) -> None:
        """Commit the oldest changes in one transaction, and answer them."""
        batch = self.next_batch()
        if not batch:
            return
        try:
            committed = await self.rows.commit(transaction(batch))
        except table.ConditionFailedError as error:
            # The other changes wait for the next interval: an immediate retry would
            # double the rate of writes.
            self.answer_conflicts(batch, error.conflicts)
        except errors.OutcomeUnknownError:
            self.retry_unsettled(batch)
        except errors.PlatformError as error:
            log.info("a batch of claims was refused: {}", error)
            self.answer_refused(batch)
        else:
            self.batches += 1
            self.committed += len(batch)
            self.answer_committed(batch, committed)

    def next_batch(self) -> list[Pending]:
        """Return the changes of the next batch, at most one for each row.

        Two conditions on one row would both hold before either write is applied, and
        two entries would each be granted the same claim.
        """
        chosen: dict[str, Pending] = {}
        for pending in self.pending.values():
            if len(chosen) == MAX_ROWS:
                break
            chosen.setdefault(pending.change.key, pending)
        return list(chosen.values())

    def answer_conflicts(
        self, batch: list[Pending], conflicts: tuple[table.Conflict, ...]
    ) -> None:
        """Answer the changes whose conditions failed."""
        for conflict in conflicts:
            pending = batch[conflict.index]
            row = conflict.row
            verdict = verdict_for(pending.change, row)
            version = 0 if row is None else row.version
            self.answer(pending, verdict, version, None if row is None else row.value)

    def retry_unsettled(self, batch: list[Pending]) -> None:
        """Leave changes whose reply was lost pending for the next interval.

        If they were applied, their conditions fail then, and the rows in the conflicts
        show which request owns them.
        """
        for pending in batch:
            pending.lost_replies += 1
            if pending.lost_replies == MAX_COMMITS:
                self.answer(pending, messages.Verdict.UNSETTLED)

    def answer_refused(self, batch: list[Pending]) -> None:
        """Answer refused changes, as unsettled where an earlier reply was lost."""
        for pending in batch:
            if pending.lost_replies:
                self.answer(pending, messages.Verdict.UNSETTLED)
            else:
                self.answer(pending, messages.Verdict.REFUSED)

    def answer_committed(
        self, batch: list[Pending], committed: table.Committed
    ) -> None:
        """Answer changes that were committed."""
        for pending in batch:
            value = pending.change.value
            version = committed.version
            self.answer(pending, messages.Verdict.COMMITTED, version, value)

    def answer(
        self,
        pending: Pending,
        verdict: messages.Verdict,
        version: int = 0,
        value: bytes | None = None,
    ) -> None:
        """Send the entry the verdict on its change."""
        change_id = pending.change.change_id
        del self.pending[change_id]
        peer = self.members.endpoint_of(pending.entry)
        if peer is None:
            log.warning("no address of {} to answer {}", pending.entry, change_id)
            return
        sent = messages.RowVerdict(
            change_id=change_id,
            key=pending.change.key,
            verdict=verdict,
            version=version,
            value=value,
        )
        self.transport.send(peer, sent)


def verdict_for(change: messages.RowChange, row: table.Row | None) -> messages.Verdict:
    """Return COMMITTED if a failed condition shows the change already applied."""
    found = None if row is None else row.value
    if found == change.value:
        return messages.Verdict.COMMITTED
    return messages.Verdict.CONFLICT


def transaction(batch: list[Pending]) -> table.Transaction:
    """Return the transaction of a batch; condition n belongs to change n."""
    changes = [pending.change for pending in batch]
    return table.Transaction(
        conditions=tuple(condition(change) for change in changes),
        writes=tuple(write(change) for change in changes),
    )


def condition(change: messages.RowChange) -> table.Absent | table.VersionIs:
    """Return the condition of a change."""
    if change.expected is None:
        return table.Absent(claim.TABLE, change.key)
    return table.VersionIs(claim.TABLE, change.key, change.expected)


def write(change: messages.RowChange) -> table.Put | table.Delete:
    """Return the write of a change."""
    if change.value is None:
        return table.Delete(claim.TABLE, change.key)
    return table.Put(claim.TABLE, change.key, change.value)
