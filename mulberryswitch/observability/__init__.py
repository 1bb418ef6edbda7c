"""Logs, metrics and traces."""

from ._logs import RateLimitFilter, configure_logs
from ._metrics import Metrics
from ._tracing import RecordHop, build_hop_recorder, record_no_hop

__all__ = [
    "Metrics",
    "RateLimitFilter",
    "RecordHop",
    "build_hop_recorder",
    "configure_logs",
    "record_no_hop",
]
