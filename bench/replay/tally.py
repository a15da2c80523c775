"""Results of a run, summed by kind, size and time of arrival."""

from __future__ import annotations

import collections

import msgspec

from bench.replay import mix, simulation

# See `wasted_wait_part`.
FREE_WAIT_PART = 1 / 8
FULL_WAIT_PART = 3 / 4
# Parts of a kind's requests, from the largest on, that are summed separately.
LARGEST = 0.1
LARGE = 0.3
# Length in seconds of the windows, of which the two worst enter the score.
WINDOW = 2.0
# Weights of the parts of a run in its score, and of the deductions.
WHOLE_WEIGHT = 0.6
CLASS_WEIGHT = 0.3
WINDOW_WEIGHT = 0.1
REFUSED_AGAIN_PRICE = 0.3
WASTED_WAIT_PRICE = 0.1


class Tally(msgspec.Struct):
    """Counts and worth of the requests of one kind, size or window."""

    ends: collections.Counter[simulation.End] = msgspec.field(
        default_factory=collections.Counter
    )
    total_worth: float = 0.0
    earned_worth: float = 0.0
    # The worth of requests that waited without being served, weighted by their wait.
    wasted_wait_worth: float = 0.0
    # The worth of those that were refused, retried and weren't served.
    refused_again_worth: float = 0.0

    def share(self) -> float:
        """Return the part of the worth that was earned."""
        return self.earned_worth / self.total_worth if self.total_worth else 0.0

    def part(self, end: simulation.End) -> float:
        """Return the part of the requests with this end."""
        return self.ends[end] / max(1, self.ends.total())

    def add(self, caller: simulation.Caller) -> None:
        """Add one request."""
        worth = caller.request.worth
        self.ends[caller.end] += 1
        self.total_worth += worth
        self.wasted_wait_worth += worth * wasted_wait_part(caller)
        self.earned_worth += earned_worth_of(caller)
        is_served = caller.end in (simulation.End.WITHIN_GOAL, simulation.End.LATE)
        if caller.refusals and caller.tries and not is_served:
            self.refused_again_worth += worth


class Sums(msgspec.Struct):
    """The sums of a run: total, by kind, by kind and size, and by arrival window."""

    whole: Tally
    kinds: dict[str, Tally]
    sizes: dict[str, Tally]
    windows: list[Tally]

    def score(self) -> float:
        """Return a run's score from its total, worst class and worst windows."""
        worst = min(one.share() for one in (*self.kinds.values(), *self.sizes.values()))
        windows = sorted(one.share() for one in self.windows)[:2]
        return (
            WHOLE_WEIGHT * self.whole.share()
            + CLASS_WEIGHT * worst
            + WINDOW_WEIGHT * sum(windows) / len(windows)
            - REFUSED_AGAIN_PRICE
            * self.whole.refused_again_worth
            / self.whole.total_worth
            - WASTED_WAIT_PRICE * self.whole.wasted_wait_worth / self.whole.total_worth
        )


def wasted_wait_part(caller: simulation.Caller) -> float:
    """Return from 0 to 1 how much of a caller's time was wasted by waiting.

    It is 0 up to an eighth of the goal, and 1 from three quarters of the deadline on,
    when too little time is left to send the request elsewhere.
    """
    if caller.server:
        return 0.0
    kind = caller.request.kind
    free, most = kind.goal_seconds * FREE_WAIT_PART, kind.deadline * FULL_WAIT_PART
    return max(0.0, min(1.0, (caller.wait_seconds - free) / (most - free)))


def earned_worth_of(caller: simulation.Caller) -> float:
    """Return the part of its worth that a request has earned."""
    kind = caller.request.kind
    if caller.end is simulation.End.WITHIN_GOAL:
        return caller.request.worth
    if caller.end is simulation.End.LATE:
        return caller.request.worth * kind.late_worth / kind.worth
    return 0.0


def sums(outcome: simulation.Outcome) -> Sums:
    """Return the sums of a run."""
    found = Sums(Tally(), collections.defaultdict(Tally), {}, [])
    by_kind: dict[str, list[simulation.Caller]] = collections.defaultdict(list)
    by_window: dict[int, Tally] = collections.defaultdict(Tally)
    for caller in outcome.callers:
        by_kind[caller.request.kind.name].append(caller)
        by_window[int(caller.request.at / WINDOW)].add(caller)
        found.whole.add(caller)
        found.kinds[caller.request.kind.name].add(caller)
    for name, callers in by_kind.items():
        add_sizes(found.sizes, name, callers)
    found.windows = [by_window[number] for number in sorted(by_window)]
    return found


def add_sizes(
    found: dict[str, Tally], name: str, callers: list[simulation.Caller]
) -> None:
    """Add the sums of a kind's largest requests, and of the next largest."""
    ordered = sorted(callers, key=lambda caller: -caller.request.size)
    largest, large = (round(part * len(ordered)) for part in (LARGEST, LARGE))
    for size, chosen in (
        ("largest", ordered[:largest]),
        ("large", ordered[largest:large]),
    ):
        one = found[f"{name}, {size}"] = Tally()
        for caller in chosen:
            one.add(caller)


def bound(found: mix.Mix, requests: list[mix.Request], seconds: float) -> float:
    """Return an upper bound on the part of the worth that any schedule could earn.

    A relaxed optimum: no goal is missed, any request fits any slot, and each costs
    the mean over the engines. Requests are served in order of worth per cost.
    """
    left = sum(
        one.slots / slot_seconds(one, 1.0, 0.0) * seconds_up(found, one, seconds)
        for one in found.engines
    )
    earned_worth = 0.0
    costs = [
        (token_cost(found, request) or 1e-9, request.worth) for request in requests
    ]
    for tokens, worth in sorted(costs, key=lambda one: -one[1] / one[0]):
        part = min(1.0, left / tokens)
        earned_worth += part * worth
        left -= part * tokens
    return earned_worth / sum(worth for _, worth in costs)


def seconds_up(found: mix.Mix, engine: mix.Engine, seconds: float) -> float:
    """Return for how many seconds of a run an engine is up."""
    down = sum(
        max(0.0, min(seconds, outage.at + outage.seconds) - outage.at)
        for outage in found.outages
        if outage.engine == engine.name
    )
    return seconds - down


def slot_seconds(engine: mix.Engine, output: float, prompt: float) -> float:
    """Return for how many seconds a request occupies a slot in a full batch."""
    step = engine.step_seconds + engine.per_request_seconds * engine.slots
    return output * step + prompt * engine.prompt_seconds


def token_cost(found: mix.Mix, request: mix.Request) -> float:
    """Return a request's cost, in output tokens of a full batch.

    Its prefill delays the whole batch.
    """
    each = [
        one.slots * request.prompt * one.prompt_seconds / slot_seconds(one, 1.0, 0.0)
        for one in found.engines
    ]
    begin = [one.startup_seconds / slot_seconds(one, 1.0, 0.0) for one in found.engines]
    return request.output + sum(each) / len(each) + sum(begin) / len(begin)
