"""Dispatching of the requests of a service, and the entry VM's table of pending requests."""

from ._actions import (
    Action,
    CancelAtTarget,
    ForwardAgain,
    NotifyEntryVM,
    ReplyToCaller,
    SendToTarget,
)
from ._classifier import WorkClassifier
from ._dispatcher import Dispatcher
from ._open_requests import OpenRequest
from ._pending import PendingRequests
from ._receipts import ReceiptSigner
from ._records import RecordState, RequestRecords
from ._refusals import build_refusal
from ._retry_budget import RetryBudget

__all__ = [
    "Action",
    "CancelAtTarget",
    "Dispatcher",
    "NotifyEntryVM",
    "ForwardAgain",
    "OpenRequest",
    "PendingRequests",
    "ReceiptSigner",
    "RecordState",
    "ReplyToCaller",
    "RequestRecords",
    "RetryBudget",
    "SendToTarget",
    "WorkClassifier",
    "build_refusal",
]
