"""Models and adapters that are rejected before a slot is asked for."""

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
def test_an_undeclared_model_or_adapter_is_rejected(
    model: str, adapter: str | None
) -> None:
    """A request with a misspelt model would be answered "retry later" indefinitely.

    A routing rule matches, but the pool doesn't have the model. Without the check,
    a missing model looks like a missing engine: `not_run`, `no_backend_server`.
    """
    with pytest.raises(problem.ProblemError) as raised:
        acceptance.check_model(wanted(model, adapter), POOL)
    assert raised.value.problem.status == 404
    assert raised.value.problem.outcome is problem.Outcome.REJECTED


@pytest.mark.parametrize(("model", "adapter"), [("m", None), ("m", "a")])
def test_a_declared_model_or_adapter_is_accepted(
    model: str, adapter: str | None
) -> None:
    acceptance.check_model(wanted(model, adapter), POOL)


def test_a_pool_that_declares_no_models_accepts_any() -> None:
    acceptance.check_model(wanted("any", "any"), kinds.EnginePoolSpec())
