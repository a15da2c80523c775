"""Central rate limiting: each account's home instance decides on every request."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, ids
from tealcove.limits import admission, bucket, home, messages
from tealcove.membership import members, unresponsive
from tealcove.peers import mesh

log = logbook.Logger("limits")

# Seconds that an entry waits for an account's home. A home answers within 5 ms over the
# links between data centres; one that doesn't is dead, frozen or unreachable, and the
# caller expects its first event within about 500 ms.
REPLY_TIMEOUT = 0.1
# Homes that a request waits for, one after the other; with more it would miss its
# latency goal.
MAX_UNANSWERED = 3
# Seconds for which an instance that didn't answer isn't asked again. The membership
# suspects a dead one after 1 s, or 3 s in a large group.
SILENT_SECONDS = 1.0
# Fraction of a limit that an instance grants while it stands in for the home ranked
# first, which may be alive and unreachable for some entries only.
STAND_IN_FRACTION = 0.5
# For so many seconds after the set of instances has changed, a new bucket starts with
# only this fraction of the burst: the previous home may have granted the rest. With a
# tenth, an eighth of the requests after a full restart got 429; with half, two changes
# of the home within seconds admit one burst too many.
SETTLE_SECONDS = 10.0
UNSETTLED_FRACTION = 0.5


class CentralCharge(admission.Charge):
    """A charge that the instance which counted it can refund."""

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
        # The instance that counted it; None: this entry counted it locally.
        self.home = home
        self.is_settled = False

    def settle(self, tokens: float) -> None:
        """See Charge; refund unused tokens, but charge none in addition."""
        if self.is_settled:
            return
        self.is_settled = True
        if tokens < self.tokens:
            self.limits.refund(self.account, self.tokens - tokens, self.home)


class CentralLimits(admission.Admission):
    """Asks an account's home for each request, and answers as the home of others.

    Requests as large as a whole burst don't fit shares that are lent out in advance:
    many would be refused although their accounts stay within their limits. One round
    trip for each request costs a few milliseconds and counts exactly.
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
        # Tokens beyond a limit that the operators allow in a time window.
        self.slack = slack
        # Buckets of accounts that this instance counts as a home, and those it uses
        # for its own requests when it reaches no home.
        self.buckets: dict[ids.AccountId, bucket.Bucket] = {}
        self.local_buckets: dict[ids.AccountId, bucket.Bucket] = {}
        self.question_numbers = itertools.count(1)
        self.pending: dict[int, asyncio.Future[messages.Charged]] = {}
        # Homes that didn't answer in time.
        self.silence = unresponsive.UnresponsivePeers(SILENT_SECONDS)

    def start(self) -> None:
        """Register the message handlers."""
        self.transport.handle(messages.AskCharge, self.handle_question)
        self.transport.handle(messages.Charged, self.handle_answer)
        self.transport.handle(messages.GiveBack, self.handle_refund)

    async def admit(
        self, account: ids.AccountId, tokens: float, request: ids.RequestId
    ) -> admission.Charge:
        """Charge an account; see Admission."""
        if self.find_limit(account) is None:
            return admission.Charge(None, 0.0)
        home, answer = await self.ask(account, tokens, request)
        if answer.retry_after > 0.0:
            raise admission.OverLimitError(account, answer.retry_after)
        return CentralCharge(self, account, tokens, home)

    async def ask(
        self, account: ids.AccountId, tokens: float, request: ids.RequestId
    ) -> tuple[ids.InstanceId | None, messages.Charged]:
        """Return the home that counted, or None if none was reached, and its answer.

        When many instances die at once, none of them is suspected for a while. If only
        the one ranked first were asked, entries would fall back to their local share
        at once, which refuses each account's second request.
        """
        self.presence.refresh(clock.now())
        question = messages.AskCharge(
            number=next(self.question_numbers),
            account=account,
            tokens=tokens,
            request=request,
        )
        unanswered = 0
        for instance in self.presence.ranked(account):
            if instance == self.members.own.instance:
                return instance, self.decide(question, clock.now())
            if unanswered == MAX_UNANSWERED:
                break
            # A late answer of the previous home must not match this question.
            question = msgspec.structs.replace(
                question, number=next(self.question_numbers)
            )
            if not self.send_question(instance, question, clock.now()):
                continue
            answer = await self.wait_for_reply(question.number)
            if answer is not None:
                return instance, answer
            unanswered += 1
            self.silence.note_timeout(instance, clock.now())
            extra = {"request": request}
            log.info("no answer from home {} of {}", instance, account, extra=extra)
        return None, self.decide_locally(question, clock.now())

    def send_question(
        self, instance: ids.InstanceId, question: messages.AskCharge, now: ids.Instant
    ) -> bool:
        """Send a question; return False if the home is silent or can't be reached."""
        if self.silence.is_unresponsive(instance, now):
            return False
        peer = self.members.endpoint_of(instance)
        return peer is not None and self.transport.send(peer, question)

    async def wait_for_reply(self, number: int) -> messages.Charged | None:
        """Return the answer to a question, or None on a timeout."""
        answer = asyncio.get_running_loop().create_future()
        self.pending[number] = answer
        try:
            async with self.members.stalls.timeout(REPLY_TIMEOUT):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self.pending[number]

    def decide(
        self, question: messages.AskCharge, now: ids.Instant
    ) -> messages.Charged:
        """Decide on a request as the home of its account, or as a stand-in for it."""
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
        """Decide by this entry's equal share of the limit, when no home answers."""
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
        """Charge the account's bucket in one of the two sets of buckets.

        A new bucket starts with a fraction `first` of the burst; `fraction` is the
        share of the limit that the set enforces.
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
        retry_after = held.take(question.tokens, limit, fraction, self.slack, now)
        log.info(
            "{} of {}: {} for {:.0f} tokens, {:.0f} left, {:.0f}/s, fraction {:.2f}",
            "passed" if retry_after == 0.0 else "over the limit",
            question.account,
            "spare" if held.level < 0.0 and retry_after == 0.0 else "bucket",
            question.tokens,
            held.level,
            limit.rate,
            fraction,
            extra={"request": question.request, "final": retry_after > 0.0},
        )
        return messages.Charged(number=question.number, retry_after=retry_after)

    def handle_question(
        self, sender: ids.InstanceId, question: messages.AskCharge
    ) -> None:
        """Answer an entry's question."""
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            self.transport.send(peer, self.decide(question, clock.now()))

    def handle_answer(self, sender: ids.InstanceId, answer: messages.Charged) -> None:
        """Pass a home's answer to the request that waits for it."""
        self.silence.note_response(sender)
        waiting = self.pending.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def refund(
        self, account: ids.AccountId, tokens: float, home: ids.InstanceId | None
    ) -> None:
        """Return unused tokens to the bucket of the instance that counted them."""
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
        """Credit refunded tokens to the account's bucket at this home."""
        refund_to_bucket(self.buckets, sent)


def refund_to_bucket(
    buckets: dict[ids.AccountId, bucket.Bucket], sent: messages.GiveBack
) -> None:
    """Credit refunded tokens to an account's bucket, if it still exists."""
    held = buckets.get(sent.account)
    if held is not None:
        held.level += sent.tokens
