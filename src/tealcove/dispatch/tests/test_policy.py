import pytest

from tealcove import errors, settings
from tealcove.dispatch import fair, policy


def test_default_is_the_fair_scheduler() -> None:
    assert policy.find(settings.Dispatch().policy) is fair.FairScheduler


@pytest.mark.parametrize(
    "name",
    ["", "no.such.module:X", "tealcove.errors:Missing", "tealcove.ids:RequestId"],
)
def test_other_names_are_refused(name: str) -> None:
    with pytest.raises(errors.SettingsError, match="policy"):
        policy.find(name)
