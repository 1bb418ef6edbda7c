"""The daemon of the direct path: packets, store, readiness, behind a platform's adapter."""

from ._node import Front, run_front
from ._settings import (
    Adapter,
    Address,
    Changes,
    FrontSettings,
    FrontSettingsError,
    HistoryLostError,
    Store,
    StoreError,
)

__all__ = [
    "Adapter",
    "Address",
    "Changes",
    "Front",
    "FrontSettings",
    "FrontSettingsError",
    "HistoryLostError",
    "Store",
    "StoreError",
    "run_front",
]
