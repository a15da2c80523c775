"""What is refused before anything is asked of a dispatcher."""

from __future__ import annotations

import pytest

from tealcove.entry import acceptance, call, problem
from tealcove.resources import kinds

POOL = kinds.EnginePoolSpec(models=("m",), adapters=("a",))


def wanted(model: str, adapter: str | None = None) -> call.EngineCall:
    """Return a request for a model."""
    return call.EngineCall(
        model=model, adapter=adapter, prompt="p", max_tokens=1, stream=False, chat=False
    )


@pytest.mark.parametrize(("model", "adapter"), [("other", None), ("m", "other")])
def test_what_no_engine_will_have_is_rejected(model: str, adapter: str | None) -> None:
    """A caller with a misspelt model is told to come back later, for ever.

    Symptom: `not_run`, reason `no_backend_server`, however often it's sent again.
    Sequence: a routing rule matches, and the pool doesn't have the model.
    Cause: only the engines knew, and a missing model looked like a missing engine.
    """
    with pytest.raises(problem.ProblemError) as raised:
        acceptance.check_model(wanted(model, adapter), POOL)
    assert raised.value.problem.status == 404
    assert raised.value.problem.outcome is problem.Outcome.REJECTED


@pytest.mark.parametrize(("model", "adapter"), [("m", None), ("m", "a")])
def test_what_the_pool_declares_is_accepted(model: str, adapter: str | None) -> None:
    acceptance.check_model(wanted(model, adapter), POOL)


def test_a_pool_that_declares_nothing_leaves_it_to_its_engines() -> None:
    acceptance.check_model(wanted("any", "any"), kinds.EnginePoolSpec())
