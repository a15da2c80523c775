"""The trace and the metrics of each request across instances."""

from __future__ import annotations

import re

from opentelemetry import trace
from opentelemetry.sdk import trace as sdk_trace
from syrupy.assertion import SnapshotAssertion

from tealcove import daemon
from tests import callers, embedded

TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"
CALLER = "00f067aa0ba902b7"
SAMPLED = f"00-{TRACE}-{CALLER}-01"
NOT_SAMPLED = f"00-{TRACE}-{CALLER}-00"
PROMPT = "a prompt that no trace may show"


def spans_of(running: embedded.Pair) -> list[tuple[str, sdk_trace.ReadableSpan]]:
    """Return all new spans, each with the role of its instance."""
    found = []
    for name, exporter in running.exporters.items():
        instance = running.instances[name]
        instance.telemetry.tracer_provider.force_flush()
        role = "entry" if instance is running.entry else "holder"
        found.extend((role, span) for span in exporter.get_finished_spans())
        exporter.clear()
    return found


def render_tree(
    found: list[tuple[str, sdk_trace.ReadableSpan]], parent: str
) -> list[str]:
    """Return the tree of spans below a parent, one line for each."""
    lines = []
    for role, span in sorted(found, key=lambda one: one[1].start_time):
        if span.parent is None or trace.format_span_id(span.parent.span_id) != parent:
            continue
        assert trace.format_trace_id(span.context.trace_id) == TRACE
        pairs = ", ".join(
            f"{k}={stable_value(k, v)}" for k, v in span.attributes.items()
        )
        events = "".join(f" !{event.name}" for event in span.events)
        status = span.status.description or ""
        lines.append(f"{span.name} @{role} [{pairs}]{events} {status}".rstrip())
        below = render_tree(found, trace.format_span_id(span.context.span_id))
        lines.extend(f"  {line}" for line in below)
    return lines


def stable_value(key: str, value: str) -> str:
    """Return an attribute's value, or "..." where it differs between runs."""
    return "..." if key.endswith("request_id") else value


async def metrics(running: embedded.Pair, instance: daemon.Instance) -> str:
    async with running.session.get(f"{running.url(instance)}/metrics") as response:
        return await response.text()


def names(text: str) -> list[str]:
    """Return the families and labels of the system's own metrics."""
    found = set()
    for line in text.splitlines():
        if match := re.match(r"(tealcove_\w+)(?:\{(.*)\})? ", line):
            labels = re.findall(r'(\w+)="', match[2] or "")
            own = [label for label in labels if not label.startswith("otel_")]
            found.add(f"{match[1]} {' '.join(own)}".rstrip())
    return sorted(found)


async def test_spans_of_a_request_form_one_tree(snapshot: SnapshotAssertion) -> None:
    async with embedded.pair() as running:
        url = running.url(running.entry)
        traced = {"traceparent": SAMPLED}
        reply = await callers.complete(running.session, url, PROMPT, extra=traced)
        assert reply.outcome == "completed"
        first = spans_of(running)
        assert len(render_tree(first, CALLER)) == len(first)
        # No span contains the prompt or the key, which tests of parts can't check.
        assert not any(PROMPT in span.to_json() for _, span in first)
        assert not any(callers.CALLER_KEY in span.to_json() for _, span in first)
        headers = callers.headers(**traced)
        # Non-idempotent, so that a claim precedes the call.
        headers |= {"Tealcove-Idempotent": "no", "Idempotency-Key": "k"}
        async with running.session.get(f"{url}/prices/1", headers=headers) as response:
            assert response.status == 200
        second = spans_of(running)
        (sent,) = running.service.traces
        calls = [span for _, span in second if span.name == "backend server"]
        assert trace.format_span_id(calls[0].context.span_id) == sent.split("-")[2]
        refused = await callers.complete(
            running.session, url, PROMPT, extra={**traced, "Tealcove-Deadline": "1e-6"}
        )
        assert refused.reason == "deadline"
        third = spans_of(running)
        trees = (
            render_tree(first, CALLER),
            render_tree(second, CALLER),
            render_tree(third, CALLER),
        )
        assert trees == snapshot
        await callers.complete(
            running.session, url, PROMPT, extra={"traceparent": NOT_SAMPLED}
        )
        assert spans_of(running) == []


async def test_metrics_of_both_instances(snapshot: SnapshotAssertion) -> None:
    async with embedded.pair() as running:
        url = running.url(running.entry)
        await callers.complete(running.session, url, PROMPT)
        await callers.complete(running.session, url, PROMPT, tier="unknown")
        entry = await metrics(running, running.entry)
        holder = await metrics(running, running.holder)
        assert (names(entry), names(holder)) == snapshot
        counted = [line for line in entry.splitlines() if "requests_total{" in line]
        assert any('outcome="completed"' in line for line in counted)
        assert any('outcome="rejected"' in line for line in counted)
        assert re.search(r"^tealcove_grants_total\S* 1.0$", holder, re.M)
        assert re.search(r'^tealcove_members\S*"serving"\S* 2.0$', holder, re.M)
