"""The parts of prompts that crash backend servers, or may do so."""

from __future__ import annotations

import hashlib
from collections.abc import Container, Iterable

import msgspec

from tealcove import ids
from tealcove.quarantine import answers, ledger, parts

# The maximum of records; an unconvicted one that ends first is dropped before others.
MAX_RECORDS = 1000
# Events from which on requests with the part run alone, and are refused.
EVENTS_TO_ISOLATE = 2
EVENTS_TO_CONVICT = 3
# The same while another part was there at each of the crashes. Requests that hold the
# fewest suspected parts run first, so that answers tell such parts apart.
EVENTS_TO_CONVICT_TIED = 5
# Seconds for which requests with the part wait then, before another one is tried.
DECISION_SECONDS = 1.0
# The first parts of a request that are kept with each of its accused parts.
MAX_COMPANY = 16
# The maximum of lost servers that are remembered.
MAX_LOSSES = 256
# The maximum of crashes in a message about a change: the newest ones.
MESSAGE_CRASHES = 8
CHECKSUM_BYTES = 8


class PartLedger(ledger.Ledger[parts.SharedPart]):
    """Finds the guilty part of the requests that crash their servers.

    A crash accuses all parts of what ran there. A whole answer acquits its parts of it,
    and a convicted part explains the crashes at which it was present.
    """

    def __init__(self, quarantine_seconds: float) -> None:
        self.quarantine_seconds = quarantine_seconds
        self.records: dict[ids.PartId, parts.PartRecord] = {}
        self.answers = answers.Answers()
        # When servers were last lost, whatever the cause.
        self.losses: dict[ids.BackendServerId, ids.Instant] = {}
        # The servers whose crashes are explained by a convicted part.
        self.explained: set[ids.BackendServerId] = set()
        self.version = 0

    def accuse(
        self, accused: Iterable[ids.PartId], crash: parts.Crash, now: ids.Instant
    ) -> list[ids.PartId]:
        """Record a crash seen here; return the parts whose records have changed."""
        accused = tuple(accused)
        self.note_loss(crash.server, crash.at)
        guilty = [part for part in accused if self.is_convicted(part, now)]
        changed = []
        for part in guilty or accused:
            if self.answers.acquits(part, crash.at) and part not in guilty:
                continue
            record = self.records.setdefault(part, parts.PartRecord())
            company = frozenset(accused[:MAX_COMPANY]) - {part}
            if record.add(msgspec.structs.replace(crash, company=company)):
                self.extend(record, crash.at)
                changed.append(part)
        self.apply(changed, now)
        return changed

    def note_loss(self, server: ids.BackendServerId, at: ids.Instant) -> None:
        """Remember that a server was lost."""
        self.losses.setdefault(server, at)
        if len(self.losses) > MAX_LOSSES:
            del self.losses[min(self.losses, key=self.losses.get)]

    def answer(
        self, answered: Iterable[ids.PartId], began: ids.Instant, now: ids.Instant
    ) -> list[ids.PartId]:
        """Record an answer whose server lived on; return the parts it has cleared."""
        answered = tuple(answered)
        self.answers.add(answered, began)
        known = [part for part in answered if part in self.records]
        cleared = [part for part in known if self.clear(self.records[part], part, now)]
        self.apply(cleared, now)
        return cleared

    def clear(
        self, record: parts.PartRecord, part: ids.PartId, now: ids.Instant
    ) -> bool:
        """Acquit a part of the crashes that its answers speak against."""
        was_acquitted = record.acquit(
            server
            for server, crash in record.crashes.items()
            if self.answers.acquits(part, crash.at)
        )
        is_accused = any(s not in record.acquitted for s in record.crashes)
        ruling = record.ruling
        if ruling.is_convicted and not ruling.is_manual and not is_accused:
            self.rule(record, False, now)
            return True
        return was_acquitted

    def rule(
        self,
        record: parts.PartRecord,
        is_convicted: bool,
        now: ids.Instant,
        is_manual: bool = False,
    ) -> None:
        """Convict a part, or end its conviction."""
        number = record.ruling.number + 1
        record.ruling = parts.Ruling(number, is_convicted, is_manual)
        seconds = self.quarantine_seconds if is_convicted else 0.0
        record.convicted_until = ids.Instant(now + seconds)
        self.extend(record, record.convicted_until)

    def extend(self, record: parts.PartRecord, since: ids.Instant) -> None:
        """Keep a record for as long again as a quarantine lasts."""
        record.until = ids.Instant(max(record.until, since + self.quarantine_seconds))

    def decide(self, part: ids.PartId, is_convicted: bool, now: ids.Instant) -> None:
        """Convict a part by an operator's order, or end its conviction."""
        record = self.records.setdefault(part, parts.PartRecord())
        record.acquit(record.crashes)
        self.rule(record, is_convicted, now, is_manual=True)
        self.apply([part], now)

    def judge(
        self, accused: Iterable[ids.PartId], now: ids.Instant
    ) -> list[ids.PartId]:
        """Convict those of some parts that are found guilty, and return them.

        The later ones in the prompt come first: fewer requests share them, and each
        conviction may explain the crashes that accuse the others.
        """
        found = []
        for part in reversed(tuple(accused)):
            if self.is_guilty(part, now):
                self.rule(self.records[part], True, now)
                self.apply([part], now)
                found.append(part)
        return found

    def is_guilty(self, part: ids.PartId, now: ids.Instant) -> bool:
        """Tell whether the crashes convict a part."""
        record = self.records.get(part)
        if record is None or record.is_convicted(now):
            return False
        count = self.count(record, now)
        if count >= EVENTS_TO_CONVICT_TIED:
            return True
        needed = EVENTS_TO_CONVICT + self.count_other_losses(record, now)
        return count >= needed and not self.is_tied(part, now)

    def count_other_losses(self, record: parts.PartRecord, now: ids.Instant) -> int:
        """Count the servers that were lost between a part's crashes, without it.

        While servers crash for other reasons, a sound part may be there by chance.
        """
        times = [crash.at for crash in record.counted(self.explained, now)]
        if not times:
            return 0
        return sum(
            times[0] < at < times[-1]
            for server, at in self.losses.items()
            if server not in record.crashes
        )

    def is_tied(self, part: ids.PartId, now: ids.Instant) -> bool:
        """Tell whether another part may have caused all crashes of a part.

        Either crashes accuse it as well, or it was in all the requests and no answer
        since shows that it is sound.
        """
        crashes = self.records[part].counted(self.explained, now)
        if self.unproved_company(crashes):
            return True
        mine = {crash.server for crash in crashes}
        return any(
            other != part
            and not record.is_convicted(now)
            and mine <= self.accusing_servers(record, now)
            for other, record in self.records.items()
        )

    def unproved_company(self, crashes: list[parts.Crash]) -> set[ids.PartId]:
        """Return the parts that were at all crashes, with no answer begun since."""
        last = max(crash.at for crash in crashes)
        shared = frozenset.intersection(*(crash.company for crash in crashes))
        return {one for one in shared if not self.answers.began_since(one, last)}

    def is_undecided(
        self, part: ids.PartId, present: Container[ids.PartId], now: ids.Instant
    ) -> bool:
        """Tell whether a request with a part should wait for answers to others.

        `present` are all parts of the request. It tells nothing if it holds another
        part that may be the cause, while requests without the part may acquit that.
        """
        record = self.records.get(part)
        if record is None or self.events(part, now) < EVENTS_TO_CONVICT:
            return False
        crashes = record.counted(self.explained, now)
        if not crashes or now >= crashes[-1].at + DECISION_SECONDS:
            return False
        return any(other in present for other in self.unproved_company(crashes))

    def accusing_servers(
        self, record: parts.PartRecord, now: ids.Instant
    ) -> set[ids.BackendServerId]:
        """Return the servers whose crashes accuse a part."""
        return {crash.server for crash in record.counted(self.explained, now)}

    def count(self, record: parts.PartRecord, now: ids.Instant) -> int:
        """Count the events that accuse a part."""
        found = parts.count_evidence(record.counted(self.explained, now))
        # A conviction that has ended by time returns with the next crash.
        return found + EVENTS_TO_ISOLATE * record.is_on_probation(now)

    def events(self, part: ids.PartId, now: ids.Instant) -> int:
        """Return the number of events that accuse a part; 0: it isn't suspected."""
        record = self.records.get(part)
        if record is None or record.until <= now:
            return 0
        return self.count(record, now)

    def is_convicted(self, part: ids.PartId, now: ids.Instant) -> bool:
        """Tell whether requests with a part are refused."""
        record = self.records.get(part)
        return record is not None and record.is_convicted(now)

    def apply(self, changed: list[ids.PartId], now: ids.Instant) -> None:
        """Update what depends on the records after a change."""
        if not changed:
            return
        self.version += 1
        for part in changed:
            if part in self.records:
                self.records[part].fingerprint = fingerprint(part, self.records[part])
        self.explained = {
            server
            for record in self.records.values()
            if record.is_convicted(now)
            for server in record.crashes
        }
        self.evict_excess(now)

    def evict_excess(self, now: ids.Instant) -> None:
        """Drop the records that matter least if there are too many."""
        while len(self.records) > MAX_RECORDS:
            del self.records[min(self.records, key=lambda p: self.importance(p, now))]

    def importance(self, part: ids.PartId, now: ids.Instant) -> tuple[int, float]:
        """Return the sort key of records, the first to drop first."""
        record = self.records[part]
        if record.is_convicted(now):
            return EVENTS_TO_CONVICT, record.until
        return min(self.count(record, now), EVENTS_TO_ISOLATE), record.until

    def all_keys(self) -> list[str]:
        """See Ledger."""
        return sorted(self.records)

    def shared(self, key: str, now: ids.Instant) -> parts.SharedPart | None:
        """See Ledger."""
        return self.newest(key, parts.MAX_CRASHES, now)

    def changed(self, key: str, now: ids.Instant) -> parts.SharedPart | None:
        """See Ledger."""
        return self.newest(key, MESSAGE_CRASHES, now)

    def newest(self, key: str, most: int, now: ids.Instant) -> parts.SharedPart | None:
        """Return a record with its newest crashes, or None if it ends soon."""
        record = self.records.get(ids.PartId(key))
        if record is None or record.until - now < ledger.MIN_SHARED_SECONDS:
            return None
        crashes = sorted(record.crashes.values(), key=lambda crash: crash.at)[-most:]
        servers = {crash.server for crash in crashes}
        return parts.SharedPart(
            part=ids.PartId(key),
            crashes=tuple(shared_crash(crash, now) for crash in crashes),
            acquitted=tuple(sorted(record.acquitted & servers)),
            ruling=record.ruling,
            convicted_for=record.convicted_until - now,
            remaining=record.until - now,
        )

    def merge(self, shared: parts.SharedPart, now: ids.Instant) -> bool:
        """See Ledger.

        Only what is new here extends a record: messages are delayed, and instances
        that repeat them to each other would keep it for ever.
        """
        record = self.records.get(shared.part) or parts.PartRecord()
        # Not a generator for any(): each crash must be added.
        added = [record.add(crash_of(one, now)) for one in shared.crashes]
        for one in shared.crashes:
            self.note_loss(one.server, ids.Instant(now - one.age))
        is_new = any(added)
        is_new |= record.acquit(shared.acquitted)
        if shared.ruling.supersedes(record.ruling):
            record.ruling = shared.ruling
            record.convicted_until = ids.Instant(now + shared.convicted_for)
            is_new = True
        is_cleared = self.clear(record, shared.part, now)
        if is_new:
            until = ids.Instant(now + shared.remaining)
            record.until = max(record.until, until)
            self.records[shared.part] = record
        if is_new or is_cleared:
            self.apply([shared.part], now)
        return is_new

    def aged(self, shared: parts.SharedPart, seconds: float) -> parts.SharedPart:
        """See Ledger."""
        return msgspec.structs.replace(
            shared,
            crashes=tuple(
                msgspec.structs.replace(crash, age=crash.age + seconds)
                for crash in shared.crashes
            ),
            convicted_for=shared.convicted_for - seconds,
            remaining=shared.remaining - seconds,
        )

    def sweep(self, now: ids.Instant) -> None:
        """See Ledger."""
        ended = [part for part, record in self.records.items() if record.until <= now]
        for part in ended:
            del self.records[part]
        self.apply(ended, now)

    def checksum(self, now: ids.Instant) -> int:
        """See Ledger."""
        found = 0
        for record in self.records.values():
            if record.until - now >= ledger.MIN_SHARED_SECONDS:
                found ^= record.fingerprint
        return found


def fingerprint(part: ids.PartId, record: parts.PartRecord) -> int:
    """Return a hash of what is known of a part."""
    text = f"{part}{record.canonical_text()}".encode()
    digest = hashlib.blake2b(text, digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest)


def shared_crash(crash: parts.Crash, now: ids.Instant) -> parts.SharedCrash:
    """Return a crash as it is sent to peers."""
    age, ran = now - crash.at, crash.at - crash.sent
    company = tuple(sorted(crash.company))
    return parts.SharedCrash(crash.server, crash.digest, age, ran, company)


def crash_of(shared: parts.SharedCrash, now: ids.Instant) -> parts.Crash:
    """Return a crash by this process's clock."""
    at = now - shared.age
    sent = ids.Instant(at - shared.ran)
    company = frozenset(shared.company)
    return parts.Crash(shared.server, shared.digest, sent, ids.Instant(at), company)
