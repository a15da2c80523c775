"""Rate limiting by shares that homes lend to entries in advance."""

from __future__ import annotations

import asyncio
import collections

import logbook

from tealcove import clock, ids, tasks
from tealcove.limits import admission, allowance, home, messages
from tealcove.membership import members
from tealcove.peers import mesh

log = logbook.Logger("limits")

# Seconds between two reports on the accounts in use, one message for each home, and
# the minimum between two reports on one account whose credit is low.
REPORT_INTERVAL = 1.0
URGENT_INTERVAL = 0.1
# An account unused for so long is closed at the entry and at its home.
IDLE_SECONDS = 2.0
# Seconds that the first request of an account waits for its home's answer. Without
# the wait, a burst after a pause would find only the entry's provisional share.
FIRST_REPLY_TIMEOUT = 0.2


class Limits(admission.Admission):
    """Divides limits among entries in advance, by their recent use."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        find_limit: home.FindLimit,
        now: ids.Instant,
    ) -> None:
        super().__init__(transport, known, find_limit, now)
        self.home = home.Home(known.own.incarnation, self.presence, find_limit)
        self.allowances: dict[ids.AccountId, allowance.Allowance] = {}
        self.reported_at: dict[ids.AccountId, ids.Instant] = {}
        self.first_replies: dict[ids.AccountId, asyncio.Event] = {}
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Register the message handlers and start the periodic reports."""
        self.transport.handle(
            messages.UsageReport,
            lambda sender, report: self.handle_report(sender, report, clock.now()),
        )
        self.transport.handle(
            messages.Lending,
            lambda sender, lending: self.handle_lending(sender, lending, clock.now()),
        )
        self.task = tasks.start_loop(self.run, "reports on accounts")

    async def stop(self) -> None:
        """Stop the periodic reports."""
        if self.task is not None:
            await tasks.stop([self.task])

    async def run(self) -> None:
        """Report periodically, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            self.report_all(clock.now())

    async def admit(
        self, account: ids.AccountId, tokens: float, request: ids.RequestId
    ) -> admission.Charge:
        """Charge an account; see Admission.

        Only the first request after a pause of the account waits, for at most
        FIRST_REPLY_TIMEOUT, for its home's answer.
        """
        if account not in self.allowances and self.find_limit(account) is not None:
            self.open_allowance(account, clock.now())
            event = self.first_replies.setdefault(account, asyncio.Event())
            self.report((account,), clock.now())
        event = self.first_replies.get(account)
        if event is not None:
            await self.wait_for_lending(account, event)
        try:
            return self.charge(account, tokens, clock.now())
        except admission.OverLimitError as error:
            log.debug("{}: {}", request, error)
            raise

    async def wait_for_lending(
        self, account: ids.AccountId, event: asyncio.Event
    ) -> None:
        """Wait up to FIRST_REPLY_TIMEOUT for an account's first lending."""
        try:
            async with self.members.stalls.timeout(FIRST_REPLY_TIMEOUT):
                await event.wait()
        except TimeoutError:
            self.first_replies.pop(account, None)

    def charge(
        self, account: ids.AccountId, tokens: float, now: ids.Instant
    ) -> admission.Charge:
        """Charge an account without waiting, or raise OverLimitError."""
        held = self.allowances.get(account)
        if held is None:
            if self.find_limit(account) is None:
                return admission.Charge(None, 0.0)
            held = self.open_allowance(account, now)
        admitted = held.spend(tokens, now)
        if (
            held.is_low()
            and now - self.reported_at.get(account, 0.0) >= URGENT_INTERVAL
        ):
            self.report((account,), now)
        if not admitted:
            raise admission.OverLimitError(account, held.retry_after())
        return admission.Charge(held, tokens)

    def open_allowance(
        self, account: ids.AccountId, now: ids.Instant
    ) -> allowance.Allowance:
        """Open an account with an equal share of its limit until its home answers."""
        limit = self.find_limit(account)
        rate = limit.rate / self.presence.count()
        held = allowance.Allowance(limit, rate, now, now, now)
        held.lent = rate * allowance.KEEP_SECONDS
        # Low from the start, so that the first request asks the home for more.
        held.credit_when_lent = held.lent / allowance.LOW_FRACTION
        self.allowances[account] = held
        return held

    def report_all(self, now: ids.Instant) -> None:
        """Report on all open accounts, and close those that are idle."""
        for account in list(self.allowances):
            if self.find_limit(account) is None:
                del self.allowances[account]
        self.report(tuple(self.allowances), now)
        self.home.sweep(now)

    def report(self, accounts: tuple[ids.AccountId, ...], now: ids.Instant) -> None:
        """Report the given accounts, in one message to each home."""
        self.presence.refresh(now)
        by_home = collections.defaultdict(list)
        for account in accounts:
            instance = self.presence.home(account)
            if instance is not None:
                by_home[instance].append(self.usage_of(account, now))
        for instance, usages in by_home.items():
            peer = self.members.endpoint_of(instance)
            if peer is not None:
                report = messages.UsageReport(usages=tuple(usages))
                self.transport.send(peer, report)

    def usage_of(self, account: ids.AccountId, now: ids.Instant) -> messages.Usage:
        """Return an account's usage for a report; close it if it is idle."""
        held = self.allowances[account]
        held.limit = self.find_limit(account) or held.limit
        held.refill(now)
        # An account in debt stays open: closing it would waive the debt, and large
        # requests with pauses between them would be free.
        closing = now - held.used_at >= IDLE_SECONDS and held.credit() >= 0.0
        self.reported_at[account] = now
        if closing:
            del self.allowances[account]
            del self.reported_at[account]
        return held.report(account, now, closing)

    def handle_report(
        self, sender: ids.InstanceId, report: messages.UsageReport, now: ids.Instant
    ) -> None:
        """Answer an entry, if this instance is the home by its own ranking.

        If two instances answered, the limit would be lent twice. An entry without
        an answer keeps its last share.
        """
        self.presence.refresh(now)
        own = self.members.own.instance
        usages = tuple(
            usage for usage in report.usages if self.presence.home(usage.account) == own
        )
        if not usages:
            return
        lending = self.home.answer(sender, messages.UsageReport(usages=usages), now)
        peer = self.members.endpoint_of(sender)
        if peer is not None and lending.shares:
            self.transport.send(peer, lending)

    def handle_lending(
        self, sender: ids.InstanceId, lending: messages.Lending, now: ids.Instant
    ) -> None:
        """Apply the shares that a home lends, and wake the requests that wait."""
        for share in lending.shares:
            held = self.allowances.get(share.account)
            if held is not None:
                held.apply_share(lending.lender, share, now)
            event = self.first_replies.pop(share.account, None)
            if event is not None:
                event.set()
