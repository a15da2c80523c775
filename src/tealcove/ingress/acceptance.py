"""Decisions on a request when it arrives, before it waits for a slot."""

from __future__ import annotations

import hashlib
import random

from tealcove import ids
from tealcove.catalog import declared, lookup
from tealcove.dispatch import messages
from tealcove.entry import problem
from tealcove.ingress import call, tickets
from tealcove.storage import revisions

DIGEST_BYTES = 16
SEPARATOR = b"\0"
# Seconds before a request's deadline at which it gets its final response, so that the
# response arrives in time: the network path to the caller takes 3 ms, and an event
# loop under load lags by some tens of milliseconds.
RESPONSE_MARGIN = 0.06
# Seconds after which a caller may retry an instance that isn't ready.
NOT_READY_RETRY = 0.5
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404


def accept(
    received: call.Call, current: lookup.Lookup | None, arrived: ids.Instant
) -> tickets.AcceptedRequest:
    """Return a request with its route, service and deadline; raises ProblemError."""
    if current is None:
        # Not 404 or 401: this instance hasn't read the configuration yet.
        raise problem.not_run(messages.RefusalReason.NOT_READY, NOT_READY_RETRY)
    route = current.find_route(received.host, received.path)
    if route is None:
        revision = revisions.text(current.revision)
        raise problem.rejected(
            HTTP_NOT_FOUND,
            "No route leads there",
            f"See host and path; routes of revision {revision}.",
        )
    account = current.find_account(received.key)
    if account is None and current.requires_keys and not route.is_public:
        revision = revisions.text(current.revision)
        raise problem.rejected(
            HTTP_UNAUTHORIZED,
            "The key is not known",
            f"Send a key that is valid now; keys of revision {revision}.",
        )
    if route.is_public and received.key is None:
        account = None
    service = choose_service(route, received.resumes or received.request_id)
    declared_service = current.services.get(service)
    seconds = route.timeout - RESPONSE_MARGIN
    if received.caller_timeout is not None:
        seconds = min(seconds, received.caller_timeout - RESPONSE_MARGIN)
    return tickets.AcceptedRequest(
        call=received,
        route=route,
        service=service,
        event_tokens=0 if declared_service is None else declared_service.event_tokens,
        account=account,
        arrived=arrived,
        deadline=ids.Instant(arrived + max(0.0, seconds)),
        digest=digest(received, account),
        has_tiers=current.has_tiers,
    )


def choose_service(route: declared.Route, request_id: ids.RequestId) -> ids.PoolId:
    """Return the service for a request, by the weights of the route's shares.

    The request's id is the random seed, so that every instance chooses the same. A
    stream that is resumed goes to the service that began it by the same weights.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0.0, share.weight) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    chosen = random.Random(request_id).choices(route.shares, weights)
    return chosen[0].service


def cost(accepted: tickets.AcceptedRequest) -> int:
    """Return the amount to charge against the account's limit."""
    work = accepted.call.work
    if accepted.account is None:
        return 0
    return accepted.account.cost(work.prompt_tokens + work.output_tokens)


def digest(received: call.Call, account: declared.Account | None) -> str:
    """Return a digest that is equal for repeats of the same request."""
    parts = (
        received.method.encode(),
        received.target.encode(),
        b"" if account is None else account.name.encode(),
        b"",
    )
    found = hashlib.blake2b(SEPARATOR.join(parts), digest_size=DIGEST_BYTES)
    # Not joined with the rest, which would copy it.
    found.update(received.body)
    return found.hexdigest()
