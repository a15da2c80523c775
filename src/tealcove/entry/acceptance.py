"""Acceptance of a request: its validation, routing rule, cell, deadline and key."""

from __future__ import annotations

import contextlib

import msgspec
from aiohttp import web

from tealcove import clock, ids
from tealcove.backends import prefixes
from tealcove.dispatch import cells, spread
from tealcove.entry import admitted, call, caller, problem
from tealcove.quarantine import content
from tealcove.resources import copy, kinds

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Tealcove-Deadline"
IDEMPOTENT_HEADER = "Tealcove-Idempotent"
NO = "no"
MAX_DEADLINE_SECONDS = 3600.0
MAX_KEY_LENGTH = 255


class Received(msgspec.Struct, frozen=True):
    """An HTTP request with its complete body and its caller."""

    request_id: ids.RequestId
    caller: caller.Caller
    http: web.Request
    body: bytes


def accept_generation(
    received: Received,
    engine_call: call.EngineCall,
    configuration: copy.Configuration,
    spreading: spread.Spread,
) -> admitted.Request:
    """Return the accepted request for an engine; raises ProblemError (rejected)."""
    rule = find_rule(received, engine_call.model, configuration)
    pool = None if rule is None else configuration.engine_pools.get(rule.spec.pool)
    if pool is None:
        raise problem.rejected(
            404,
            "No routing rule leads to a pool of engines",
            f"model {engine_call.model!r}; ask the operator for a rule.",
        )
    check_model(engine_call, pool.spec)
    work = admitted.Work(
        prompt_tokens=prefixes.count_tokens(engine_call.prompt),
        output_tokens=engine_call.max_tokens,
        prefix=prefixes.chain(engine_call.prompt),
        model=engine_call.model,
        adapter=engine_call.adapter,
    )
    first_block = work.prefix[0] if work.prefix else received.request_id
    cell = spreading.choose(pool, str(first_block))
    return accept(received, rule, cell, work, content.digest_prompt(engine_call.prompt))


def check_model(engine_call: call.EngineCall, spec: kinds.EnginePoolSpec) -> None:
    """Reject a model or adapter that the pool doesn't declare.

    No engine has it, so the request would wait until its deadline, and its caller
    would be asked to retry later.
    """
    if spec.models and engine_call.model not in spec.models:
        raise problem.rejected(
            404,
            f"The model {engine_call.model!r} isn't served here",
            f"Use one of {', '.join(spec.models)}.",
        )
    adapter = engine_call.adapter
    if adapter is not None and spec.adapters and adapter not in spec.adapters:
        raise problem.rejected(
            404,
            f"The adapter {adapter!r} isn't served here",
            f"Use one of {', '.join(spec.adapters)}.",
        )


def accept_call(
    received: Received, configuration: copy.Configuration, spreading: spread.Spread
) -> admitted.Request:
    """Return the accepted call to a plain service; raises ProblemError (rejected)."""
    check_path(received.http.path)
    rule = find_rule(received, None, configuration)
    pool = None if rule is None else configuration.service_pools.get(rule.spec.pool)
    if pool is None:
        raise problem.rejected(
            404,
            "No routing rule leads to a plain service",
            "See the path, or ask the operator for a rule.",
        )
    cell = spreading.choose(pool, received.request_id)
    return accept(received, rule, cell, admitted.Work(), fingerprint(received))


def accept(
    received: Received,
    rule: kinds.Resource,
    cell: cells.Cell,
    work: admitted.Work,
    content_digest: str,
) -> admitted.Request:
    """Return the accepted request; raises ProblemError for an invalid header."""
    headers = received.http.headers
    opted_out = headers.get(IDEMPOTENT_HEADER, "").lower() == NO
    idempotent = rule.spec.idempotent and not opted_out
    return admitted.Request(
        request_id=received.request_id,
        caller=received.caller,
        cell=cell.cell_id,
        near=cell.data_centre,
        idempotent=idempotent,
        deadline=read_deadline(headers.get(DEADLINE_HEADER), received.caller),
        work=work,
        digest=content_digest,
        fingerprint=fingerprint(received),
        key=read_key(headers.get(KEY_HEADER), idempotent),
    )


def find_rule(
    received: Received, model: str | None, configuration: copy.Configuration
) -> kinds.Resource | None:
    """Return the routing rule that matches a request, if there is one."""
    http = received.http
    return configuration.route(http.path, http.method, model, received.caller.account)


def check_path(path: str) -> None:
    """Reject a path that a service could resolve to another one.

    Routing rules match the path unresolved. A service that resolves `..` would
    handle the call under a rule that isn't meant for it, such as an idempotent one.
    """
    parts = path.split("/")
    if not path.startswith("/") or "." in parts or ".." in parts:
        raise problem.rejected(
            400,
            "The path can't be used",
            "Begin it with `/` and leave out the parts `.` and `..`.",
        )


def read_deadline(text: str | None, sender: caller.Caller) -> ids.Instant:
    """Return the deadline of a request; the header gives seconds from now."""
    now = clock.now()
    if text is None:
        return ids.Instant(now + sender.default_deadline)
    with contextlib.suppress(ValueError):
        seconds = float(text)
        if 0 < seconds <= MAX_DEADLINE_SECONDS:
            return ids.Instant(now + seconds)
    raise problem.rejected(
        400,
        f"The header {DEADLINE_HEADER} can't be used",
        f"Write seconds, above 0 and at most {MAX_DEADLINE_SECONDS:g}.",
    )


def read_key(key: str | None, idempotent: bool) -> ids.IdempotencyKey | None:
    """Return the idempotency key, which a non-idempotent request must have."""
    if key is None and not idempotent:
        raise problem.rejected(
            400,
            f"A non-idempotent request needs the header {KEY_HEADER}",
            "Write a key of your own that no other request has, and send the same "
            "one when you send this request again.",
        )
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        raise problem.rejected(
            400,
            f"The header {KEY_HEADER} can't be used",
            f"Write 1 to {MAX_KEY_LENGTH} characters.",
        )
    return None if key is None else ids.IdempotencyKey(key)


def fingerprint(received: Received) -> str:
    """Return a digest of method, target and body, to compare requests by."""
    http = received.http
    return content.digest_call(http.method, raw_target(http), received.body)


def raw_target(http: web.Request) -> str:
    """Return the path and query as the caller encoded them."""
    return http.rel_url.raw_path_qs
