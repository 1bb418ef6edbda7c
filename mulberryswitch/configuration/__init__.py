"""The published configuration: validation, the version in force, and its dissemination."""

from ._bindings import MAX_TOMBSTONES, Binding, Tombstones
from ._delta import DeltaError, apply_delta, build_delta
from ._document import MAX_DOCUMENT_BYTES
from ._errors import Problem, SheetProblemError, SheetRefusedError
from ._exchange import CONFIG_TICK_S, ConfigExchange, Outgoing
from ._readers import ReadPlan
from ._store import ConfigStore, OfferResult, RefusedSheet
from ._validation import check_sheet

__all__ = [
    "Binding",
    "ConfigExchange",
    "ConfigStore",
    "DeltaError",
    "MAX_DOCUMENT_BYTES",
    "MAX_TOMBSTONES",
    "OfferResult",
    "Outgoing",
    "Problem",
    "ReadPlan",
    "RefusedSheet",
    "SheetProblemError",
    "SheetRefusedError",
    "CONFIG_TICK_S",
    "Tombstones",
    "apply_delta",
    "build_delta",
    "check_sheet",
]
