"""Tests of the log rate limit, the metrics and the spans."""

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
    """Guards the log against a fault that repeats thousands of times a second."""

    def test_a_message_is_limited_and_the_rest_is_counted(self):
        now_s = 0.0
        limit = RateLimitFilter(limit=3, window_s=10.0, clock=lambda: now_s)
        passed = [limit.filter(build_record("peers: stream lost")) for _ in range(10)]
        self.assertEqual(passed.count(True), 3)
        self.assertTrue(limit.filter(build_record("peers: stream refused")))
        now_s = 10.0
        record = build_record("peers: stream lost")
        self.assertTrue(limit.filter(record))
        self.assertEqual(record.suppressed, 7)

    def test_many_different_messages_do_not_grow_the_table(self):
        limit = RateLimitFilter(clock=lambda: 0.0)
        for number in range(5000):
            limit.filter(build_record(f"message {number}"))
        self.assertLessEqual(len(limit._windows), 1000)


class NonBlockingHandlerTest(unittest.TestCase):
    """Guards the packet path against a log that nobody reads."""

    def test_a_full_pipe_drops_lines_and_says_so(self):
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
    """Guards the names that alerts rely on."""

    def test_counts_gauges_and_waits_are_rendered(self):
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
    """Guards the chain of spans from hop to hop."""

    def test_each_hop_is_a_child_of_the_one_before(self):
        exporter = InMemorySpanExporter()
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        record = build_hop_recorder(exporter="none", vm="v", zone="z", provider=provider)
        first = record("entry", "", {})
        record("owner", first, {})
        entry, owner = exporter.get_finished_spans()
        self.assertEqual(owner.parent.span_id, entry.context.span_id)
        self.assertEqual(owner.context.trace_id, entry.context.trace_id)

    def test_a_malformed_trace_context_starts_a_new_trace(self):
        record = build_hop_recorder(exporter="none", vm="v", zone="z", provider=TracerProvider())
        self.assertTrue(record("entry", "not a traceparent", {}).startswith("00-"))

    def test_tracing_that_is_off_passes_the_context_on(self):
        record = build_hop_recorder(exporter="none", vm="v", zone="z")
        self.assertEqual(record("entry", "abc", {}), "abc")
