"""Tests of the log filter and handler, the metrics and the spans."""

import logging
import os
import unittest

from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from mulberryswitch.observability import (
    Metrics,
    NonBlockingHandler,
    RateLimitFilter,
    build_hop_recorder,
)


def build_record(message: str) -> logging.LogRecord:
    return logging.LogRecord("peers", logging.INFO, "", 0, message, None, None)


class RateLimitTest(unittest.TestCase):
    """A message that repeats thousands of times a second must not flood the log."""

    def test_repeated_message_is_limited_and_suppressed_records_are_counted(self):
        now_s = 0.0
        log_filter = RateLimitFilter(limit=3, window_s=10.0, clock=lambda: now_s)
        passed = [log_filter.filter(build_record("peers: stream lost")) for _ in range(10)]
        self.assertEqual(passed.count(True), 3)
        self.assertTrue(log_filter.filter(build_record("peers: stream refused")))
        now_s = 10.0
        record = build_record("peers: stream lost")
        self.assertTrue(log_filter.filter(record))
        self.assertEqual(record.suppressed, 7)

    def test_number_of_tracked_messages_is_bounded(self):
        log_filter = RateLimitFilter(clock=lambda: 0.0)
        for number in range(5000):
            log_filter.filter(build_record(f"message {number}"))
        self.assertLessEqual(len(log_filter._windows), 1000)


class NonBlockingHandlerTest(unittest.TestCase):
    """A log that nobody reads must not block the packet path."""

    def test_lines_are_dropped_and_counted_while_pipe_is_full(self):
        reader, writer = os.pipe()
        handler = NonBlockingHandler(descriptor=writer)
        for _ in range(3000):
            handler.handle(build_record("x" * 100))
        self.assertGreater(handler.dropped, 0)
        text = os.read(reader, 10_000_000)
        handler.setFormatter(logging.Formatter("%(message)s %(dropped)s", defaults={"dropped": 0}))
        handler.handle(build_record("after"))
        text = os.read(reader, 10_000_000)
        self.assertRegex(text.decode(), r"after [1-9]\d*\n$")
        os.close(reader)
        handler.handle(build_record("nobody reads"))
        os.close(writer)


class MetricsTest(unittest.TestCase):
    """The names of metrics must not change, as alerts rely on them."""

    def test_counters_gauges_and_queue_waits_are_rendered(self):
        metrics = Metrics()
        metrics.count("flows_broken")
        metrics.count("flows_broken", 2)
        metrics.observe_wait("reports", 0.2)
        body, _ = metrics.render({"config_version": 7})
        text = body.decode()
        self.assertIn('mulberryswitch_events_total{event="flows_broken"} 3', text)
        self.assertIn('mulberryswitch_state{name="config_version"} 7', text)
        self.assertIn('mulberryswitch_queue_wait_seconds_count{service="reports"} 1', text)


class TracingTest(unittest.TestCase):
    """Each span must be a child of the previous hop's, as a trace would otherwise fall apart."""

    def test_each_span_is_child_of_previous_hop(self):
        exporter = InMemorySpanExporter()
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        record = build_hop_recorder(exporter="none", vm="v", zone="z", provider=provider)
        first = record("entry", "", {})
        record("owner", first, {})
        entry, owner = exporter.get_finished_spans()
        self.assertEqual(owner.parent.span_id, entry.context.span_id)
        self.assertEqual(owner.context.trace_id, entry.context.trace_id)

    def test_malformed_trace_context_starts_new_trace(self):
        record = build_hop_recorder(exporter="none", vm="v", zone="z", provider=TracerProvider())
        self.assertTrue(record("entry", "not a traceparent", {}).startswith("00-"))

    def test_disabled_tracing_passes_context_on(self):
        record = build_hop_recorder(exporter="none", vm="v", zone="z")
        self.assertEqual(record("entry", "abc", {}), "abc")
