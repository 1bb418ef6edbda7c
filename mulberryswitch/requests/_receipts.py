"""Signed receipts which prove that an attempt and all earlier ones were not run."""

import hmac
import struct

from mulberryswitch.contracts import RECEIPT_BYTES

__all__ = ["ReceiptSigner"]

DOMAIN = b"mulberryswitch receipt 1"


class ReceiptSigner:
    """Sign and verify receipts with the fleet's key.

    Parameters
    ----------
    key : bytes
        Secret that all VMs of the fleet share.
    """

    def __init__(self, key: bytes):
        self._key = key

    def sign(self, address: str, flow: bytes, request_id: int, attempt: int) -> bytes:
        """Return the receipt for the refusal of `attempt`."""
        name = address.encode()
        # The length prefixes make the encoding unambiguous: ("ab", b"c") and ("a", b"bc") differ.
        head = struct.pack(">HHQQ", len(name), len(flow), request_id, attempt)
        return hmac.digest(self._key, DOMAIN + head + name + flow, "sha256")[:RECEIPT_BYTES]

    def verify(
        self, address: str, flow: bytes, request_id: int, attempt: int, receipt: bytes
    ) -> bool:
        """Return whether `receipt` proves the refusal of `attempt`."""
        return hmac.compare_digest(self.sign(address, flow, request_id, attempt), receipt)
