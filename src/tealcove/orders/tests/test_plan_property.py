"""Properties of the planner, from any initial state of a pool."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from tealcove import ids
from tealcove.backends import engine
from tealcove.orders import desired, plan
from tealcove.orders.tests import test_plan
from tealcove.resources import kinds

NAMES = ("a", "b", "c")
MODELS = ("m", "n")
VERSIONS = ("1", "2")
# Each of 3 engines needs at most 5 orders, and each order two rounds: one to carry it
# out and one to release the engine.
ENOUGH = 3 * 5 * 2

HOLDINGS = st.builds(
    engine.Holding,
    models=st.dictionaries(
        st.sampled_from((*MODELS, "old")), st.sampled_from(VERSIONS)
    ),
    adapters=st.just({}),
    role=st.sampled_from([role.value for role in kinds.EngineRole]),
)


def served(
    aim: desired.DesiredState, found: dict[str, engine.Holding], held: frozenset[str]
) -> set[tuple[str, str]]:
    """Return the desired models and the phases that engines in use compute."""
    return {
        (model, part)
        for name, holding in found.items()
        if name not in held
        for model in aim.models.keys() & holding.models.keys()
        for part, roles in (("prefill", plan.PREFILL), ("decode", plan.DECODE))
        if holding.role in roles
    }


@hypothesis.given(
    states=st.lists(HOLDINGS, min_size=1, max_size=3),
    versions=st.fixed_dictionaries({"m": st.sampled_from(VERSIONS)}),
    data=st.data(),
)
def test_service_is_kept_and_the_desired_state_is_reached(states, versions, data):
    found = dict(zip(NAMES, states, strict=False))
    aim = test_plan.target(*(test_plan.server(name) for name in found), **versions)
    held: frozenset[str] = frozenset()
    for _ in range(ENOUGH):
        before = served(aim, found, held)
        decided = plan.make(aim, plan.ObservedState(found, held=held))
        was_held, held = held, held - decided.idle
        drained = [task for task in decided.tasks if task.drains]
        held |= {task.server for task in drained}
        assert len(drained) <= 1
        assert served(aim, found, held) >= before
        if not decided.tasks and held == was_held:
            break
        for task in data.draw(st.permutations(decided.tasks)):
            server = ids.BackendServerId(task.server)
            found[server] = test_plan.carried_out(found[server], task.order)
    assert not decided.tasks
    if not decided.blocked:
        assert all(h.models == aim.models and h.role == "both" for h in found.values())
