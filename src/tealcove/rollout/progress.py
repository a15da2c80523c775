"""One rollout: which servers get requests, and when it ends."""

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

# Share of a service's requests that go to a version on trial, and a number of requests
# in addition. The share is half of the tenth that operators allow a bad version, since
# another dispatcher may restart the trial, and some requests are in flight when the
# version is found to be bad.
TRIAL_SHARE = 0.05
TRIAL_ALLOWANCE = 10
# Share of the period for which a version is on trial. The rest is for runs on the old
# servers, which have to end before these are stopped.
TRIAL_PERIOD_SHARE = 0.45
# The trial is extended up to the first share of the period while servers on trial
# aren't measured. From the second share on, the rollout may be done without
# measurements.
MAX_TRIAL_PERIOD_SHARE = 0.6
UNMEASURED_END_SHARE = 0.9
# Share of the period before which no rollout is done, so that faults that appear only
# under full load have time to appear.
MIN_PERIOD_SHARE = 0.7
# Number of servers that get the trial's requests: few, so that they're busy, and enough
# to distinguish a slow version from a slow machine.
TRIAL_SERVERS = 8
# Seconds without a run on the old servers after which none is in flight to them.
QUIET_SECONDS = 0.5
# Observations from which on a server's latency counts as measured.
MIN_OBSERVATIONS = 2

# Prompt and output tokens for which latencies are compared.
PROMPT_TOKENS = 1000
OUTPUT_TOKENS = 100


class Stage(enum.Enum):
    """Stage of a rollout."""

    TRIAL = "trial"
    # The new version gets all requests; runs on the old ones finish.
    MOVING = "moving"
    ENDED = "ended"


class Rollout(exposure.Exposure):
    """Move a service's requests from one version to another, or back."""

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
        self.evidence.start_version()
        self.granted = 0
        self.trial_count = 0
        self.trials_by_server: collections.Counter[str] = collections.Counter()
        self.stage = Stage.TRIAL if state is order.State.RUNNING else Stage.ENDED
        # The new servers on trial, and whether any new server is serving.
        self.trial_servers: frozenset[str] = frozenset()
        self.has_new_servers = False
        # The versions that it replaces; versions that appear later aren't limited.
        self.replaced_versions: set[str] = set()
        # Whether the latencies of all servers on trial are known.
        self.all_measured = False
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
            return not is_new or self.may_trial(server)
        # The old servers keep serving if the new ones are lost.
        return server.version not in self.replaced_versions or not self.has_new_servers

    def may_resume(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure; its stream can't go on anywhere else."""
        return self.state is not order.State.ROLLED_BACK or not self.is_new(server)

    def is_preferred(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        if self.stage is not Stage.TRIAL or not self.may_trial(server):
            return False
        # Those with the fewest requests: all servers on trial have to be measured.
        return self.trials_by_server[server.name] <= min(
            self.trials_by_server[n] for n in self.trial_servers
        )

    def may_trial(self, server: kinds.BackendServerSpec) -> bool:
        """Tell whether a new server may get one more request on trial."""
        most = TRIAL_ALLOWANCE + TRIAL_SHARE * self.granted
        return server.name in self.trial_servers and self.trial_count < most

    def record_grant(self, server: kinds.BackendServerSpec) -> None:
        """See Exposure."""
        self.granted += 1
        if self.is_new(server):
            self.trial_count += 1
            self.trials_by_server[server.name] += 1

    def record_end(
        self, server: kinds.BackendServerSpec, route: str, done: messages.Done
    ) -> None:
        """See Exposure."""
        if done.outcome is messages.Outcome.CANCELLED:
            return
        has_failed = done.outcome is not messages.Outcome.COMPLETED
        if self.is_new(server):
            self.evidence.record_new(route, has_failed)
        else:
            self.evidence.record_old(route, has_failed)

    def review(
        self, views: Iterable[backendview.BackendView], now: ids.Instant
    ) -> order.State:
        """Update the stage and state from the servers' views; return the state."""
        found = list(views)
        new = [view for view in found if self.is_new(view.spec)]
        old = [view for view in found if not self.is_new(view.spec)]
        serving = [v for v in new if v.spec.state is kinds.ServerState.SERVING]
        self.has_new_servers = bool(serving)
        if self.state is order.State.RUNNING:
            self.replaced_versions |= {view.spec.version for view in old}
        self.choose_trial_servers(serving)
        if self.state is order.State.RUNNING:
            self.check_version(old, new)
        if self.state is order.State.RUNNING:
            self.advance(old, now)
        return self.state

    def choose_trial_servers(self, serving: list[backendview.BackendView]) -> None:
        """Choose the servers for the trial; every instance chooses the same ones."""
        ordered = sorted(view.name for view in serving)
        ordered.sort(key=lambda name: zlib.crc32(name.encode()))
        self.trial_servers = frozenset(ordered[:TRIAL_SERVERS])

    def check_version(
        self, old: list[backendview.BackendView], new: list[backendview.BackendView]
    ) -> None:
        """Roll back if the new version is bad."""
        fault = self.evidence.failure_reason()
        tried = [view for view in new if view.name in self.trial_servers]
        self.all_measured = bool(tried) and all(map(is_measured, tried))
        fault = fault or evidence.slowdown_reason(
            map(latencies, old), map(latencies, tried)
        )
        if fault is not None:
            self.finish(order.State.ROLLED_BACK, fault)

    def advance(self, old: list[backendview.BackendView], now: ids.Instant) -> None:
        """Send all requests to the new version; finish once the old ones are idle."""
        part = (now - self.began) / self.order.period
        is_tried = part >= (
            TRIAL_PERIOD_SHARE if self.all_measured else MAX_TRIAL_PERIOD_SHARE
        )
        if self.stage is Stage.TRIAL and is_tried and self.has_new_servers:
            self.stage = Stage.MOVING
            log.info(
                "{}: all requests go to version {} after a trial of {} of {} requests",
                self.order.service,
                self.order.to,
                self.trial_count,
                self.granted,
            )
        if self.stage is not Stage.MOVING or not self.has_new_servers:
            return
        if any(view.runs for view in old):
            self.quiet_since = None
        elif self.quiet_since is None:
            self.quiet_since = now
        elif now - self.quiet_since >= QUIET_SECONDS and part >= MIN_PERIOD_SHARE:
            if not (self.all_measured or part >= UNMEASURED_END_SHARE):
                return
            seen = self.evidence.new[evidence.ALL_ROUTES]
            reason = f"{seen.failures} of {seen.answers} answers failed"
            self.finish(order.State.DONE, reason)

    def finish(self, state: order.State, reason: str) -> None:
        """End the rollout in the given state."""
        log.info(
            "{}: {} of version {}: {}",
            self.order.service,
            state.value,
            self.order.to,
            reason,
        )
        self.state, self.reason = state, reason
        self.stage = Stage.ENDED


def is_measured(view: backendview.BackendView) -> bool:
    """Tell whether a server's latency is measured."""
    return view.observations >= MIN_OBSERVATIONS


def latencies(view: backendview.BackendView) -> tuple[float, float, float]:
    """Return a server's seconds per prompt, output and call; 0 means not measured."""
    if not is_measured(view):
        return 0.0, 0.0, 0.0
    if view.prefill.works > 0.0:
        prompt = PROMPT_TOKENS * view.prefill.rate
        return prompt, OUTPUT_TOKENS * view.token_seconds, 0.0
    return 0.0, 0.0, view.call_seconds
