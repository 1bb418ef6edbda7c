"""Replies to attempts that a VM gives up without a dispatcher."""

from mulberryswitch.contracts import Forward, Reply, ResultCode, is_refusal

from ._outcomes import build_outcome
from ._proof import is_first_or_has_receipt
from ._receipts import ReceiptSigner

__all__ = ["build_refusal"]


def build_refusal(
    signer: ReceiptSigner, forward: Forward, code: int, *, may_have_run: bool = False
) -> Reply:
    """Return the reply to an attempt that this VM gives up.

    A retry is refused only if it carries the receipt of the attempt before it. Without a receipt an
    earlier attempt may have run and the outcome is ``NO_PROOF``, also for idempotent requests. A
    code that is not a refusal becomes ``NO_PATH``.

    Parameters
    ----------
    may_have_run : bool
        Whether a forwarded copy of this attempt was lost; the outcome is then ``OWNER_LOST``.
    """
    if may_have_run:
        code = ResultCode.OWNER_LOST
    elif not is_first_or_has_receipt(signer, forward):
        code = ResultCode.NO_PROOF
    elif not is_refusal(code):
        code = ResultCode.NO_PATH
    return build_outcome(signer, forward, code)
