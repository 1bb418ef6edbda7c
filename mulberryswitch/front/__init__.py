"""Daemon of the direct path: forwards packets, follows the store and reports readiness.

Everything specific to a platform (formats of packets, records and settings) is behind ``Adapter``.
"""

from ._node import Front, run_front
from ._options import parse_options
from ._settings import (
    Adapter,
    Address,
    AnswerTooLargeError,
    FrontSettings,
    FrontSettingsError,
    HistoryLostError,
    ReadResult,
    Store,
    StoreError,
)

__all__ = [
    "Adapter",
    "Address",
    "AnswerTooLargeError",
    "ReadResult",
    "Front",
    "FrontSettings",
    "FrontSettingsError",
    "HistoryLostError",
    "Store",
    "StoreError",
    "parse_options",
    "run_front",
]
