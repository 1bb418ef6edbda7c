"""Retries that arrive while their request is queued or running."""

from mulberryswitch.contracts import ResultCode

from ._outcomes import Outcomes
from ._proof import has_receipt
from ._receipts import ReceiptSigner
from ._records import Record, RecordState, Waiter

__all__ = ["MAX_WAITERS", "attach_waiter"]

MAX_WAITERS = 4


def attach_waiter(
    *, record: Record, waiter: Waiter, signer: ReceiptSigner, outcomes: Outcomes
) -> None:
    """Attach another attempt to an open request, so that it gets the outcome of the same run."""
    attempt = waiter.attempt
    if attempt < record.attempt or len(record.waiters) >= MAX_WAITERS:
        outcomes.report(record, waiter, ResultCode.NO_PROOF)
        return
    packet = waiter.forward.packet
    # If an attempt number is skipped, that attempt may have run at another dispatcher.
    follows = attempt == record.attempt + 1 and record.waiters[-1].has_proof
    waiter.has_proof = packet.idempotent or follows or has_receipt(signer, waiter.forward)
    record.attempt = attempt
    record.last_deadline_ms = max(record.last_deadline_ms, packet.deadline_ms)
    if record.sent_pieces and record.pieces is None:
        outcomes.report(record, waiter, ResultCode.ANSWER_NOT_KEPT)
        return
    if record.state is RecordState.RUNNING:
        outcomes.replay(record, waiter, complete=False)
    record.waiters.append(waiter)
