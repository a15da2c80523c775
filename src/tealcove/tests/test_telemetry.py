"""Tests of logs, metrics and the propagation of traces."""

from __future__ import annotations

import io
import json
import logging
import pathlib
import re

import logbook
from opentelemetry import trace
from opentelemetry.sdk.trace.export import in_memory_span_exporter

import tealcove
from tealcove import logs, settings, telemetry
from tealcove.tests import builders

LOGGER = re.compile(r"logbook\.Logger\(([^)]*)\)")
PARENT = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"


def test_log_lines():
    stream = io.StringIO()
    own = settings.Log(debug=("entry",))
    handler = logs.JsonHandler(settings.Settings("a", "b", log=own), stream)
    with handler.applicationbound():
        logbook.Logger("entry").debug("taken", extra={logs.REQUEST: "req-1"})
        logbook.Logger("other").debug("hidden")
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logbook.Logger("other").exception("broken")
    first, second = (json.loads(line) for line in stream.getvalue().splitlines())
    assert first.pop("time").endswith("Z")
    assert first == {
        "level": "debug",
        "channel": "entry",
        "message": "taken",
        "request": "req-1",
        "instance": "a",
        "data_centre": "b",
    }
    assert second["level"] == "error"
    assert "ValueError: two\nlines" in second["error"]


def test_other_libraries_log_through_the_handler():
    stream = io.StringIO()
    root = logging.getLogger()
    level, handlers = root.level, list(root.handlers)
    handler = logs.install(settings.Settings("a", "b"), stream)
    try:
        logging.getLogger("aiohttp.access").info("GET /?key=secret")
        logging.getLogger("aiohttp.server").warning("odd")
    finally:
        handler.pop_application()
        root.handlers[:] = handlers
        root.setLevel(level)
    (line,) = stream.getvalue().splitlines()
    assert json.loads(line)["message"] == "odd"


def test_metrics_of_instances_are_separate():
    first, second = builders.telemetry(), builders.telemetry()
    first.meter.create_counter("tealcove.requests").add(3, {"tier": "high"})
    assert b'tier="high"} 3.0' in first.metrics_text()
    assert b"tealcove_requests" not in second.metrics_text()


def test_traces_propagate_through_headers():
    exporter = in_memory_span_exporter.InMemorySpanExporter()
    found = builders.telemetry(exporter)
    headers = {}
    context = telemetry.extract({telemetry.TRACEPARENT: PARENT})
    with found.tracer.start_as_current_span("entry", context=context):
        telemetry.inject(headers)
    found.shutdown()
    (span,) = exporter.get_finished_spans()
    assert trace.format_trace_id(span.context.trace_id) == PARENT.split("-")[1]
    assert headers[telemetry.TRACEPARENT].split("-")[2] == trace.format_span_id(
        span.context.span_id
    )


def test_without_tracing_nothing_is_recorded_and_the_parent_is_propagated():
    exporter = in_memory_span_exporter.InMemorySpanExporter()
    for found in (builders.telemetry(exporter, trace_share=0), builders.telemetry()):
        assert not found.tracing
        headers = {}
        with found.tracer.start_as_current_span("entry"):
            telemetry.inject(headers)
        assert headers == {}
        context = telemetry.extract({telemetry.TRACEPARENT: PARENT})
        with found.tracer.start_as_current_span("entry", context=context):
            assert telemetry.traceparent() == PARENT
    assert exporter.get_finished_spans() == ()


def test_loggers_have_the_names_of_their_packages():
    """Guard against debug lines that can't be enabled.

    The handler compares the names in `log.debug` with the channel of a record. With a
    channel named after a module, such as "tealcove.resources.reader", setting
    "resources" has no effect.
    """
    root = pathlib.Path(tealcove.__file__).parent
    wrong = []
    for path in set(root.glob("*/*.py")) - set(root.glob("tests/*.py")):
        for channel in LOGGER.findall(path.read_text("utf-8")):
            if channel != f'"{path.parent.name}"':
                wrong.append(f"{path}: {channel}")
    assert wrong == []


def test_a_line_with_text_that_is_no_unicode_is_written():
    """Guards against requests and tasks that fail on logging a caller's header."""
    stream = io.StringIO()
    handler = logs.JsonHandler(settings.Settings("a", "b"), stream)
    with handler.applicationbound():
        text = b"caf\xe9".decode(errors="surrogateescape")
        logbook.Logger("entry").info("from {}", text, extra={logs.REQUEST: text})
    line = json.loads(stream.getvalue())
    assert (line["message"], line["request"]) == ("from caf\\udce9", "caf\\udce9")
