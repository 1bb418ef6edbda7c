"""Whether an attempt may run as far as earlier attempts and copies are concerned."""

from mulberryswitch.contracts import Forward, ResultCode

from ._receipts import ReceiptSigner
from ._records import KEEP_S, MAX_DEADLINE_AHEAD_S

__all__ = ["check_deadline_proof", "has_receipt", "is_first_or_has_receipt"]


def has_receipt(signer: ReceiptSigner, forward: Forward) -> bool:
    """Return whether `forward` carries the receipt of the attempt before it."""
    packet = forward.packet
    return packet.attempt > 1 and signer.verify(
        packet.address, packet.flow, packet.request_id, packet.attempt - 1, packet.receipt
    )


def is_first_or_has_receipt(signer: ReceiptSigner, forward: Forward) -> bool:
    """Return whether nothing but a record could speak against running `forward`."""
    return forward.packet.attempt == 1 or has_receipt(signer, forward)


def check_deadline_proof(forward: Forward, now_s: float) -> int:
    """Return a code unless the deadline lets records recognise every copy of the attempt.

    A deadline further ahead than ``MAX_DEADLINE_AHEAD_S`` gives ``NO_PROOF`` rather than a
    refusal, because a late copy could arrive after the refusal's record has expired. The same
    holds for an attempt whose deadline passed longer ago than records are kept: an earlier copy
    may have run. A non-idempotent request without a deadline never runs and can be refused.
    """
    packet = forward.packet
    ahead_s = packet.deadline_ms / 1000.0 - now_s
    if packet.deadline_ms and ahead_s <= 0.0:
        return ResultCode.NO_PROOF if ahead_s <= -KEEP_S else ResultCode.DEADLINE_PASSED
    if packet.idempotent:
        return 0
    if not packet.deadline_ms:
        return ResultCode.MALFORMED_PACKET
    return ResultCode.NO_PROOF if ahead_s > MAX_DEADLINE_AHEAD_S else 0
