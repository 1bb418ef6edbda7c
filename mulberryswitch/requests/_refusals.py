"""Refusals of attempts that no dispatcher has seen."""

from mulberryswitch.contracts import Packet, Reply, ReplyKind, ResultCode, is_refusal

from ._receipts import ReceiptSigner

__all__ = ["build_refusal"]


def build_refusal(*, signer: ReceiptSigner, packet: Packet, code: int) -> Reply:
    """Return the reply to an attempt whose only copy was not run.

    An attempt after the first is refused only if its receipt proves the refusal of the one before;
    otherwise an earlier attempt may have run and the outcome is ``NO_PROOF``. A code that means
    nothing to a caller becomes ``NO_PATH``.
    """
    proven = packet.attempt == 1 or packet.idempotent
    proven = proven or signer.verify(
        packet.address, packet.flow, packet.request_id, packet.attempt - 1, packet.receipt
    )
    if not proven:
        code = ResultCode.NO_PROOF
    elif not is_refusal(code):
        code = ResultCode.NO_PATH
    receipt = b""
    if proven:
        receipt = signer.sign(packet.address, packet.flow, packet.request_id, packet.attempt)
    return Reply(
        kind=ReplyKind.REFUSED if proven else ReplyKind.UNKNOWN,
        flow=packet.flow,
        request_id=packet.request_id,
        attempt=packet.attempt,
        code=code,
        receipt=receipt,
    )
