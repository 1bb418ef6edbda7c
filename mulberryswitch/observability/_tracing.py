"""One span per hop with W3C trace context; disabled unless an exporter is set."""

from collections.abc import Callable

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

__all__ = ["RecordHop", "build_hop_recorder", "pass_trace_context"]

# Takes the hop's name, the traceparent of the previous hop and the span's attributes; returns the
# traceparent for the next hop.
RecordHop = Callable[[str, str, dict[str, str | int]], str]


def pass_trace_context(name: str, traceparent: str, attributes: dict[str, str | int]) -> str:
    """Return the trace context unchanged, without recording a span."""
    return traceparent


def build_hop_recorder(
    *, exporter: str, vm: str, zone: str, provider: TracerProvider | None = None
) -> RecordHop:
    """Return the function that records a span for each hop.

    Parameters
    ----------
    exporter : {"none", "console"}
        ``"none"`` disables spans; the returned function is ``pass_trace_context``.
    vm, zone : str
        Resource attributes of the spans.
    provider : TracerProvider, optional
        Used instead of the provider that `exporter` selects.
    """
    if exporter == "none" and provider is None:
        return pass_trace_context
    if provider is None:
        resource = Resource.create({"service.name": "mulberryswitch", "vm": vm, "zone": zone})
        provider = TracerProvider(resource=resource)
        provider.add_span_processor(BatchSpanProcessor(ConsoleSpanExporter()))
    tracer = provider.get_tracer("mulberryswitch")
    propagator = TraceContextTextMapPropagator()

    def record_hop(name: str, traceparent: str, attributes: dict[str, str | int]) -> str:
        parent = propagator.extract({"traceparent": traceparent}) if traceparent else None
        span = tracer.start_span(name, context=parent, attributes=attributes)
        span.end()
        carrier: dict[str, str] = {}
        propagator.inject(carrier, context=trace.set_span_in_context(span))
        return carrier.get("traceparent", traceparent)

    return record_hop
