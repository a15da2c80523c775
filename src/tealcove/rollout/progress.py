"""One roll-out: who gets which requests, and when it has come to its end."""

from __future__ import annotations

import collections
import enum
import zlib
from collections.abc import Iterable

import logbook

from tealcove import ids
from tealcove.dispatch import backendview, exposure, messages
from tealcove.resources import kinds
from tealcove.rollout import evidence, order

log = logbook.Logger("rollout")

# The part of a service's requests that goes to a version on trial, and how many
# besides: half of the tenth that operators allow a bad one, since another dispatcher
# may begin anew, and some requests are on their way when it's found out.
TRIAL_PART = 0.05
TRIAL_FREE = 10
# The part of the period for which a version is on trial. The rest is for runs at the
# old servers, which have to end before these are stopped.
TRIAL_TIME = 0.45
# Until then it goes on if too little is known of the servers on trial, and from then on
# the roll-out may end without.
LONGEST_TRIAL = 0.6
LATE = 0.9
# Before that no roll-out is done: what shows under all requests has time to show.
SETTLED_TIME = 0.7
# Servers that get the requests of the trial: few, so that they're busy, and enough to
# tell a slow version from a slow machine.
TRIAL_SERVERS = 8
# Seconds without a run at the old servers after which none is on its way there.
QUIET_SECONDS = 0.5
# Observations by which a server's pace counts as known.
LEAST_OBSERVATIONS = 2

# Tokens of the prompt and of the output by which paces are compared.
PROMPT_TOKENS = 1000
OUTPUT_TOKENS = 100


class Stage(enum.Enum):
    """What is done with the new version."""

    TRIAL = "trial"
    # It gets all requests; what runs at the old ones comes to its end.
    MOVING = "moving"
    ENDED = "ended"


class Rollout(exposure.Exposure):
    """Moves a service's requests from one version to another, or back."""

    def __init__(
        self,
        ordered: order.Order,
        began: ids.Instant,
        state: order.State,
        known: evidence.Evidence,
    ) -> None:
        self.order = ordered
        self.began = began
        self.state = state
        self.reason = ""
        self.evidence = known
        self.evidence.begin()
        self.granted = 0
        self.tried = 0
        self.tries: collections.Counter[str] = collections.Counter()
        self.stage = Stage.TRIAL if state is order.State.RUNNING else Stage.ENDED
        # Which of the new servers are on trial; whether any of them is there at all.
        self.chosen: frozenset[str] = frozenset()
        self.has_new = False
        # The versions that it replaces; others that come later are none of its matter.
        self.replaced: set[str] = set()
        # Whether the paces of all servers on trial are known.
        self.is_known = False
        self.quiet_since: ids.Instant | None = None

    def is_new(self, server: kinds.BackendServerSpec) -> bool:
        """Tell whether a server is of the new version."""
        return server.version == self.order.to

    def may_receive(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        is_new = self.is_new(server)
        if self.state is order.State.ROLLED_BACK:
            return not is_new
        if self.stage is Stage.TRIAL:
            return not is_new or self.may_try(server)
        # The old ones serve on if the new ones are lost.
        return server.version not in self.replaced or not self.has_new

    def is_preferred(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        if self.stage is not Stage.TRIAL or not self.may_try(server):
            return False
        # Whichever has had least: all of them have to be known.
        return self.tries[server.name] <= min(self.tries[n] for n in self.chosen)

    def may_try(self, server: kinds.BackendServerSpec) -> bool:
        """Tell whether a new server may get one more request on trial."""
        most = TRIAL_FREE + TRIAL_PART * self.granted
        return server.name in self.chosen and self.tried < most

    def record_grant(self, server: kinds.BackendServerSpec) -> None:
        """See Exposure."""
        self.granted += 1
        if self.is_new(server):
            self.tried += 1
            self.tries[server.name] += 1

    def record_end(
        self, server: kinds.BackendServerSpec, route: str, done: messages.Done
    ) -> None:
        """See Exposure."""
        if done.outcome is messages.Outcome.CANCELLED:
            return
        has_failed = done.outcome is not messages.Outcome.COMPLETED
        if self.is_new(server):
            self.evidence.note_new(route, has_failed)
        else:
            self.evidence.note_old(route, has_failed)

    def review(
        self, views: Iterable[backendview.BackendView], now: ids.Instant
    ) -> order.State:
        """Go on to what is next; return the state that holds from now on."""
        found = list(views)
        new = [view for view in found if self.is_new(view.spec)]
        old = [view for view in found if not self.is_new(view.spec)]
        serving = [v for v in new if v.spec.state is kinds.ServerState.SERVING]
        self.has_new = bool(serving)
        if self.state is order.State.RUNNING:
            self.replaced |= {view.spec.version for view in old}
        self.choose(serving)
        if self.state is order.State.RUNNING:
            self.judge(old, new)
        if self.state is order.State.RUNNING:
            self.move(old, now)
        return self.state

    def choose(self, serving: list[backendview.BackendView]) -> None:
        """Choose the servers for the trial, the same on every instance."""
        ordered = sorted(view.name for view in serving)
        ordered.sort(key=lambda name: zlib.crc32(name.encode()))
        self.chosen = frozenset(ordered[:TRIAL_SERVERS])

    def judge(
        self, old: list[backendview.BackendView], new: list[backendview.BackendView]
    ) -> None:
        """Roll back if the new version is bad."""
        fault = self.evidence.fault()
        tried = [view for view in new if view.name in self.chosen]
        self.is_known = bool(tried) and all(map(is_known, tried))
        fault = fault or evidence.slowness(map(paces, old), map(paces, tried))
        if fault is not None:
            self.end(order.State.ROLLED_BACK, fault)

    def move(self, old: list[backendview.BackendView], now: ids.Instant) -> None:
        """Let the new version have all requests, and end when all runs there."""
        part = (now - self.began) / self.order.period
        is_tried = part >= (TRIAL_TIME if self.is_known else LONGEST_TRIAL)
        if self.stage is Stage.TRIAL and is_tried and self.has_new:
            self.stage = Stage.MOVING
            log.info(
                "{}: all requests go to {}: {} of {} were tried there",
                self.order.service,
                self.order.to,
                self.tried,
                self.granted,
            )
        if self.stage is not Stage.MOVING or not self.has_new:
            return
        if any(view.runs for view in old):
            self.quiet_since = None
        elif self.quiet_since is None:
            self.quiet_since = now
        elif now - self.quiet_since >= QUIET_SECONDS and part >= SETTLED_TIME:
            if not (self.is_known or part >= LATE):
                return
            seen = self.evidence.new[evidence.ALL_ROUTES]
            reason = f"{seen.failures} of {seen.answers} answers failed"
            self.end(order.State.DONE, reason)

    def end(self, state: order.State, reason: str) -> None:
        """Come to an end."""
        log.info(
            "{}: {} of version {}: {}",
            self.order.service,
            state.value,
            self.order.to,
            reason,
        )
        self.state, self.reason = state, reason
        self.stage = Stage.ENDED


def is_known(view: backendview.BackendView) -> bool:
    """Tell whether a server's pace is known."""
    return view.observations >= LEAST_OBSERVATIONS


def paces(view: backendview.BackendView) -> tuple[float, float, float]:
    """Return a server's seconds for a prompt, an output and a call; 0: unknown."""
    if not is_known(view):
        return 0.0, 0.0, 0.0
    if view.prefill.works > 0.0:
        prompt = PROMPT_TOKENS * view.prefill.rate
        return prompt, OUTPUT_TOKENS * view.token_seconds, 0.0
    return 0.0, 0.0, view.call_seconds
