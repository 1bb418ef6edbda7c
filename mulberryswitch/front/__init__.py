"""Daemon of the direct path: forwards packets, follows the store and reports readiness.

Everything specific to a platform (formats of packets, records and settings) is behind ``Adapter``.
"""

from mulberryswitch._lazy import build_lazy_getter

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
    "ConfigDocument",
    "Difference",
    "Front",
    "FrontSettings",
    "FrontSettingsError",
    "HistoryLostError",
    "Problem",
    "ReadResult",
    "RouteEntry",
    "ServiceEntry",
    "Severity",
    "Store",
    "StoreError",
    "check_document",
    "compare_documents",
    "find_version_problem",
    "parse_options",
    "run_front",
]

# Only commands use these, so a VM does not import them.
_COMMAND_NAMES = (
    "ConfigDocument",
    "Difference",
    "Problem",
    "RouteEntry",
    "ServiceEntry",
    "Severity",
    "check_document",
    "compare_documents",
    "find_version_problem",
)

__getattr__ = build_lazy_getter(__name__, dict.fromkeys(_COMMAND_NAMES, "_config_check"))
