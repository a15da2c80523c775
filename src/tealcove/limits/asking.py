"""Limits that are kept at one instance for each account, asked for each request."""

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

# Seconds that an entry waits for an account's home. It answers within 5 ms over the
# links between data centres; one that doesn't is dead, frozen or cut off, and the
# caller hopes for its first event within some 500 ms.
PATIENCE = 0.1
# Homes that a request waits for, one after the other: more would cost it its goal.
MOST_WAITS = 3
# Seconds for which one that didn't answer isn't asked again. A dead one is suspected
# after 1 s, or 3 s in a large group.
SILENT_SECONDS = 1.0
# What an instance keeps of a limit while it stands in for a home that others rank
# first: that one may live, out of reach of some entries only.
STAND_IN_PART = 0.5
# For so many seconds after the instances have changed, a new bucket begins with
# only this part of the burst: the home before it may have let the rest pass. With a
# tenth, an eighth of the requests after a restart of everything got 429; with half,
# two changes of the home within seconds let one burst too much pass.
SETTLE_SECONDS = 10.0
UNSETTLED_PART = 0.5


class AskedCharge(admission.Charge):
    """A charge that whoever counted it can take back."""

    def __init__(
        self,
        limits: AskingLimits,
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
            self.limits.give_back(self.account, self.tokens - tokens, self.home)


class AskingLimits(admission.Admission):
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
        self.own_parts: dict[ids.AccountId, bucket.Bucket] = {}
        self.numbers = itertools.count(1)
        self.asked: dict[int, asyncio.Future[messages.Charged]] = {}
        # Homes that left a question unanswered.
        self.silence = unresponsive.UnresponsivePeers(SILENT_SECONDS)

    def start(self) -> None:
        """Begin to answer."""
        self.transport.handle(messages.AskCharge, self.take_question)
        self.transport.handle(messages.Charged, self.take_answer)
        self.transport.handle(messages.GiveBack, self.take_back)

    async def admit(
        self, account: ids.AccountId, tokens: float, request: ids.RequestId
    ) -> admission.Charge:
        """Charge an account; see the base class."""
        if self.find_limit(account) is None:
            return admission.Charge(None, 0.0)
        home, answer = await self.ask(account, tokens, request)
        if answer.retry_after > 0.0:
            raise admission.OverLimitError(account, answer.retry_after)
        return AskedCharge(self, account, tokens, home)

    async def ask(
        self, account: ids.AccountId, tokens: float, request: ids.RequestId
    ) -> tuple[ids.InstanceId | None, messages.Charged]:
        """Return who counted, and the answer; None: no home is in reach.

        When many instances die at once, nobody suspects them for a while. Were only
        the first in rank asked, entries would count by their own part at once, which
        refuses each account's second request.
        """
        self.presence.follow(clock.now())
        question = messages.AskCharge(
            number=next(self.numbers), account=account, tokens=tokens, request=request
        )
        waits = 0
        for instance in self.presence.ranked(account):
            if instance == self.members.own.instance:
                return instance, self.decide(question, clock.now())
            if waits == MOST_WAITS:
                break
            # A late answer of the one before must not be taken for this one's.
            question = msgspec.structs.replace(question, number=next(self.numbers))
            if not self.send_to(instance, question, clock.now()):
                continue
            answer = await self.wait_for(question.number)
            if answer is not None:
                return instance, answer
            waits += 1
            self.silence.note_timeout(instance, clock.now())
            extra = {"request": request}
            log.info("home {} of {} is silent", instance, account, extra=extra)
        return None, self.decide_alone(question, clock.now())

    def send_to(
        self, instance: ids.InstanceId, question: messages.AskCharge, now: ids.Instant
    ) -> bool:
        """Send a question; False: it was silent lately, or can't be reached."""
        if self.silence.is_unresponsive(instance, now):
            return False
        peer = self.members.endpoint_of(instance)
        return peer is not None and self.transport.send(peer, question)

    async def wait_for(self, number: int) -> messages.Charged | None:
        """Return the answer to a question; None when it doesn't come in time."""
        answer = asyncio.get_running_loop().create_future()
        self.asked[number] = answer
        try:
            async with asyncio.timeout(PATIENCE):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self.asked[number]

    def decide(
        self, question: messages.AskCharge, now: ids.Instant
    ) -> messages.Charged:
        """Answer as the home of an account, or in place of one."""
        self.presence.follow(now)
        part = self.presence.part(now)
        if self.presence.home(question.account) != self.members.own.instance:
            part *= STAND_IN_PART
            return self.take(self.buckets, question, part, part, now)
        settled = now - self.presence.changed >= SETTLE_SECONDS
        first = 1.0 if settled else UNSETTLED_PART * part
        return self.take(self.buckets, question, first, part, now)

    def decide_alone(
        self, question: messages.AskCharge, now: ids.Instant
    ) -> messages.Charged:
        """Answer by this instance's equal part of the limit, out of reach of a home."""
        self.presence.follow(now)
        others = self.presence.count_lost(now) + self.presence.count_unheard(now)
        part = 1.0 / (self.presence.count() + others)
        return self.take(self.own_parts, question, part, part, now)

    def take(
        self,
        buckets: dict[ids.AccountId, bucket.Bucket],
        question: messages.AskCharge,
        first: float,
        part: float,
        now: ids.Instant,
    ) -> messages.Charged:
        """Answer from one of the sets of buckets.

        A new bucket holds a part `first` of the burst; `part` is the part of the
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
            held.open_unsettled(limit.burst, first)
        after = held.take(question.tokens, limit, part, self.slack, now)
        log.info(
            "{} of {}: {} for {:.0f} tokens, {:.0f} left, {:.0f} a second, part {:.2f}",
            "passed" if after == 0.0 else "over the limit",
            question.account,
            "spare" if held.level < 0.0 and after == 0.0 else "bucket",
            question.tokens,
            held.level,
            limit.rate,
            part,
            extra={"request": question.request, "final": after > 0.0},
        )
        return messages.Charged(number=question.number, retry_after=after)

    def take_question(
        self, sender: ids.InstanceId, question: messages.AskCharge
    ) -> None:
        """Answer an entry."""
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            self.transport.send(peer, self.decide(question, clock.now()))

    def take_answer(self, sender: ids.InstanceId, answer: messages.Charged) -> None:
        """Take a home's answer in."""
        self.silence.note_response(sender)
        waiting = self.asked.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def give_back(
        self, account: ids.AccountId, tokens: float, home: ids.InstanceId | None
    ) -> None:
        """Tell whoever counted a request that it hasn't run."""
        sent = messages.GiveBack(account=account, tokens=tokens)
        if home is None:
            put_back(self.own_parts, sent)
            return
        if home == self.members.own.instance:
            self.take_back(home, sent)
            return
        peer = self.members.endpoint_of(home)
        if peer is not None:
            self.transport.send(peer, sent)

    def take_back(self, sender: ids.InstanceId, sent: messages.GiveBack) -> None:
        """Put tokens back that weren't used."""
        put_back(self.buckets, sent)


def put_back(
    buckets: dict[ids.AccountId, bucket.Bucket], sent: messages.GiveBack
) -> None:
    """Put tokens back into an account's bucket, if there still is one."""
    held = buckets.get(sent.account)
    if held is not None:
        held.level += sent.tokens
