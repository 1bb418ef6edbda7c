"""Proof that no earlier attempt or copy of a request can have run."""

from mulberryswitch.contracts import Forward, ResultCode

from ._receipts import ReceiptSigner
from ._records import MAX_DEADLINE_AHEAD_S, RETENTION_S

__all__ = ["check_deadline_proof", "has_receipt", "is_first_or_has_receipt"]


def has_receipt(signer: ReceiptSigner, forward: Forward) -> bool:
    """Return whether `forward` carries the receipt of the attempt before it."""
    packet = forward.packet
    return packet.attempt > 1 and signer.verify(
        packet.address, packet.flow, packet.request_id, packet.attempt - 1, packet.receipt
    )


def is_first_or_has_receipt(signer: ReceiptSigner, forward: Forward) -> bool:
    """Return whether `forward` is a first attempt or proves that all earlier ones did not run."""
    return forward.packet.attempt == 1 or has_receipt(signer, forward)


def check_deadline_proof(forward: Forward, now_s: float) -> int:
    """Return 0 if records are kept long enough to recognise every copy of `forward`, else a code.

    A deadline more than ``MAX_DEADLINE_AHEAD_S`` ahead gives ``NO_PROOF`` rather than a refusal,
    because a late copy could arrive after the record of the refusal has expired. A deadline that
    passed more than ``RETENTION_S`` ago gives ``NO_PROOF`` as well, because the record of an
    earlier copy that ran may have expired. A non-idempotent request without a deadline never runs,
    so it can be refused.
    """
    packet = forward.packet
    ahead_s = packet.deadline_ms / 1000.0 - now_s
    if packet.deadline_ms and ahead_s <= 0.0:
        return ResultCode.NO_PROOF if ahead_s <= -RETENTION_S else ResultCode.DEADLINE_PASSED
    if packet.idempotent:
        return 0
    if not packet.deadline_ms:
        return ResultCode.MALFORMED_PACKET
    return ResultCode.NO_PROOF if ahead_s > MAX_DEADLINE_AHEAD_S else 0
