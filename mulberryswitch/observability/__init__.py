"""Logs, metrics and traces."""

from mulberryswitch._lazy import build_lazy_getter

from ._logs import NonBlockingHandler, RateLimitFilter, configure_logs
from ._metrics import Metrics

__all__ = [
    "Metrics",
    "NonBlockingHandler",
    "RateLimitFilter",
    "RecordHop",
    "build_hop_recorder",
    "configure_logs",
    "pass_trace_context",
]

# Only the parts that record spans import OpenTelemetry.
__getattr__ = build_lazy_getter(
    __name__,
    dict.fromkeys(("RecordHop", "build_hop_recorder", "pass_trace_context"), "_tracing"),
)
