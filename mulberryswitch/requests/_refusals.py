"""Refusals of attempts that no dispatcher has seen."""

from mulberryswitch.contracts import Forward, Reply, ResultCode, is_refusal

from ._outcomes import build_outcome
from ._proof import is_first_or_has_receipt
from ._receipts import ReceiptSigner

__all__ = ["build_refusal"]


def build_refusal(
    signer: ReceiptSigner, forward: Forward, code: int, *, may_have_run: bool = False
) -> Reply:
    """Return the reply to an attempt that this VM gives up.

    An attempt after the first is refused only with the receipt of the one before; otherwise an
    earlier attempt may have run and the outcome is ``NO_PROOF``, also for idempotent requests. A
    code that means nothing to a caller becomes ``NO_PATH``.

    Parameters
    ----------
    may_have_run : bool
        A copy of this attempt was forwarded and lost; the outcome is ``OWNER_LOST``.
    """
    if may_have_run:
        code = ResultCode.OWNER_LOST
    elif not is_first_or_has_receipt(signer, forward):
        code = ResultCode.NO_PROOF
    elif not is_refusal(code):
        code = ResultCode.NO_PATH
    return build_outcome(signer, forward, code)
