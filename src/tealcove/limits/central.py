"""Limits that are kept at one instance for each account, asked for each request."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, ids
from tealcove.limits import admission, bucket, home, messages
from tealcove.membership import members, silence
from tealcove.peers import mesh

log = logbook.Logger("limits")

# Seconds that an entry waits for an account's home. It answers within 5 ms over the
# links between data centres; one that doesn't is dead, frozen or cut off, and the
# caller hopes for its first event within some 500 ms.
REPLY_TIMEOUT = 0.1
# Homes that a request waits for, one after the other: more would cost it its goal.
MAX_UNANSWERED = 3
# Seconds for which one that didn't answer isn't asked again. A dead one is suspected
# after 1 s, or 3 s in a large group.
SILENT_SECONDS = 1.0
# What an instance keeps of a limit while it stands in for a home that others rank
# first: that one may live, out of reach of some entries only.
STAND_IN_FRACTION = 0.5
# For so many seconds after the instances have changed, a new bucket begins with
# only this fraction of the burst: the home before it may have let the rest pass. With a
# tenth, an eighth of the requests after a restart of everything got 429; with half,
# two changes of the home within seconds let one burst too much pass.
SETTLE_SECONDS = 10.0
UNSETTLED_FRACTION = 0.5


class CentralCharge(admission.Charge):
    """A charge that whoever counted it can take back."""

    def __init__(
        self,
        limits: CentralLimits,
        account: ids.AccountId,
        tokens: float,
        home: ids.InstanceId | None,
    ) -> None:
        super().__init__(None, tokens)
        self.limits = limits
        self.account = account
        # Who counted it; None: the entry by itself.
        self.home = home
        self.is_settled = False

    def settle(self, tokens: float) -> None:
        """See Charge; only a request that hasn't run gives its tokens back."""
        if self.is_settled:
            return
        self.is_settled = True
        if tokens < self.tokens:
            self.limits.refund(self.account, self.tokens - tokens, self.home)


class CentralLimits(admission.Admission):
    """Both sides: the entry's, and that of the home.

    Requests of a few accounts that are as large as a whole burst can't be counted on
    shares that are lent out: many would be refused though hardly any is beyond its
    account's limit. One question for each request costs some milliseconds and counts
    exactly.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        find_limit: home.FindLimit,
        slack: float,
        now: ids.Instant,
        count_listed: Callable[[], int] | None = None,
    ) -> None:
        super().__init__(transport, known, find_limit, now, count_listed)
        # Tokens beyond a limit that the operators allow in a window.
        self.slack = slack
        # What this instance lets pass as a home, and what by itself when it
        # reaches none.
        self.buckets: dict[ids.AccountId, bucket.Bucket] = {}
        self.local_buckets: dict[ids.AccountId, bucket.Bucket] = {}
        self.question_numbers = itertools.count(1)
        self.pending: dict[int, asyncio.Future[messages.Charged]] = {}
        # Homes that left a question unanswered.
        self.silence = silence.Silence(SILENT_SECONDS)

    def start(self) -> None:
        """Begin to answer."""
        self.transport.handle(messages.AskCharge, self.handle_question)
        self.transport.handle(messages.Charged, self.handle_answer)
        self.transport.handle(messages.GiveBack, self.handle_refund)

    async def admit(
        self, account: ids.AccountId, tokens: float, request: ids.RequestId
    ) -> admission.Charge:
        """Charge an account; see the base class."""
        if self.find_limit(account) is None:
            return admission.Charge(None, 0.0)
        home, answer = await self.ask(account, tokens, request)
        if answer.retry_after > 0.0:
            raise admission.OverLimitError(account, answer.retry_after)
        return CentralCharge(self, account, tokens, home)

    async def ask(
        self, account: ids.AccountId, tokens: float, request: ids.RequestId
    ) -> tuple[ids.InstanceId | None, messages.Charged]:
        """Return who counted, and the answer; None: no home is in reach.

        When many instances die at once, nobody suspects them for a while. Were only
        the first in rank asked, entries would count by their own part at once, which
        refuses each account's second request.
        """
        self.presence.refresh(clock.now())
        question = messages.AskCharge(
            number=next(self.question_numbers),
            account=account,
            tokens=tokens,
            request=request,
        )
        waits = 0
        for instance in self.presence.ranked(account):
            if instance == self.members.own.instance:
                return instance, self.decide(question, clock.now())
            if waits == MAX_UNANSWERED:
                break
            # A late answer of the one before must not be taken for this one's.
            question = msgspec.structs.replace(
                question, number=next(self.question_numbers)
            )
            if not self.send_question(instance, question, clock.now()):
                continue
            answer = await self.wait_for_reply(question.number)
            if answer is not None:
                return instance, answer
            waits += 1
            self.silence.note(instance, clock.now())
            extra = {"request": request}
            log.info("home {} of {} is silent", instance, account, extra=extra)
        return None, self.decide_locally(question, clock.now())

    def send_question(
        self, instance: ids.InstanceId, question: messages.AskCharge, now: ids.Instant
    ) -> bool:
        """Send a question; False: it was silent lately, or can't be reached."""
        if self.silence.is_silent(instance, now):
            return False
        peer = self.members.endpoint_of(instance)
        return peer is not None and self.transport.send(peer, question)

    async def wait_for_reply(self, number: int) -> messages.Charged | None:
        """Return the answer to a question; None when it doesn't come in time."""
        answer = asyncio.get_running_loop().create_future()
        self.pending[number] = answer
        try:
            async with asyncio.timeout(REPLY_TIMEOUT):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self.pending[number]

    def decide(
        self, question: messages.AskCharge, now: ids.Instant
    ) -> messages.Charged:
        """Answer as the home of an account, or in place of one."""
        self.presence.refresh(now)
        fraction = self.presence.lendable_fraction(now)
        if self.presence.home(question.account) != self.members.own.instance:
            fraction *= STAND_IN_FRACTION
            return self.charge(self.buckets, question, fraction, fraction, now)
        settled = now - self.presence.changed_at >= SETTLE_SECONDS
        first = 1.0 if settled else UNSETTLED_FRACTION * fraction
        return self.charge(self.buckets, question, first, fraction, now)

    def decide_locally(
        self, question: messages.AskCharge, now: ids.Instant
    ) -> messages.Charged:
        """Answer by this instance's equal part of the limit, out of reach of a home."""
        self.presence.refresh(now)
        others = self.presence.count_lost(now) + self.presence.count_undiscovered(now)
        fraction = 1.0 / (self.presence.count() + others)
        return self.charge(self.local_buckets, question, fraction, fraction, now)

    def charge(
        self,
        buckets: dict[ids.AccountId, bucket.Bucket],
        question: messages.AskCharge,
        first: float,
        fraction: float,
        now: ids.Instant,
    ) -> messages.Charged:
        """Answer from one of the sets of buckets.

        A new bucket holds a fraction `first` of the burst; `fraction` is that of the
        limit that the set stands for.
        """
        limit = self.find_limit(question.account)
        if limit is None:
            return messages.Charged(number=question.number, retry_after=0.0)
        held = buckets.get(question.account)
        if held is None and first == 1.0:
            held = buckets[question.account] = bucket.Bucket(limit.burst, now)
        elif held is None:
            held = buckets[question.account] = bucket.Bucket.unsettled(now)
        if first < 1.0:
            held.add_unsettled_burst(limit.burst, first)
        after = held.take(question.tokens, limit, fraction, self.slack, now)
        log.info(
            "{} of {}: {} for {:.0f} tokens, {:.0f} left, {:.0f} a second, part {:.2f}",
            "passed" if after == 0.0 else "over the limit",
            question.account,
            "spare" if held.level < 0.0 and after == 0.0 else "bucket",
            question.tokens,
            held.level,
            limit.rate,
            fraction,
            extra={"request": question.request, "final": after > 0.0},
        )
        return messages.Charged(number=question.number, retry_after=after)

    def handle_question(
        self, sender: ids.InstanceId, question: messages.AskCharge
    ) -> None:
        """Answer an entry."""
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            self.transport.send(peer, self.decide(question, clock.now()))

    def handle_answer(self, sender: ids.InstanceId, answer: messages.Charged) -> None:
        """Take a home's answer in."""
        self.silence.end(sender)
        waiting = self.pending.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def refund(
        self, account: ids.AccountId, tokens: float, home: ids.InstanceId | None
    ) -> None:
        """Tell whoever counted a request that it hasn't run."""
        sent = messages.GiveBack(account=account, tokens=tokens)
        if home is None:
            refund_to_bucket(self.local_buckets, sent)
            return
        if home == self.members.own.instance:
            self.handle_refund(home, sent)
            return
        peer = self.members.endpoint_of(home)
        if peer is not None:
            self.transport.send(peer, sent)

    def handle_refund(self, sender: ids.InstanceId, sent: messages.GiveBack) -> None:
        """Put tokens back that weren't used."""
        refund_to_bucket(self.buckets, sent)


def refund_to_bucket(
    buckets: dict[ids.AccountId, bucket.Bucket], sent: messages.GiveBack
) -> None:
    """Put tokens back into an account's bucket, if there still is one."""
    held = buckets.get(sent.account)
    if held is not None:
        held.level += sent.tokens
