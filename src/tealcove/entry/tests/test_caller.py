"""What a caller's account brings into its tickets."""

from __future__ import annotations

import pytest

from tealcove import bearer, ids
from tealcove.dispatch import messages
from tealcove.entry import admitted, caller
from tealcove.resources import copy, kinds
from tealcove.resources.tests import builders

KEY = "a-key"


def ticket_of(**spec: object) -> messages.Ticket:
    """Return the ticket of a request of an account."""
    account = kinds.ClientAccountSpec(
        tier="gold", key_hashes=(bearer.hash_key(KEY),), **spec
    )
    resources = (
        (kinds.Kind.SERVICE_TIER, "gold", builders.tier()),
        (kinds.Kind.CLIENT_ACCOUNT, "bakery", account),
    )
    configuration = copy.empty().with_changes(
        builders.change(number, *each) for number, each in enumerate(resources, 1)
    )
    found = caller.authenticate(f"{bearer.PREFIX}{KEY}", configuration)
    request = admitted.Request(
        request_id=ids.RequestId("r-1"),
        caller=found,
        cell=ids.CellId("pool/0"),
        near=None,
        idempotent=True,
        deadline=ids.Instant(1.0),
        work=admitted.Work(),
        digest="d",
        fingerprint="f",
    )
    return admitted.new_ticket(request, ids.InstanceId("i"), ())


@pytest.mark.parametrize(("spec", "weight"), [({}, None), ({"weight": 2.5}, 2.5)])
def test_the_ticket_carries_the_weight_of_its_account(
    spec: dict[str, object], weight: float | None
) -> None:
    """Guards against a declared weight that no dispatcher hears of."""
    assert ticket_of(**spec).weight == weight
