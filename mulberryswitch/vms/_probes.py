"""State of pings that await a response."""

from dataclasses import dataclass

__all__ = ["PendingIndirectPing", "PendingProbe"]


@dataclass(kw_only=True, slots=True)
class PendingProbe:
    """A ping sent at `sent_s`; any later message from `vm` completes it."""

    vm: str
    sent_s: float
    is_indirect: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingIndirectPing:
    """A ping to `vm` on behalf of another VM.

    Its acknowledgement is forwarded to `address` under the requester's `sequence`.
    """

    address: str
    sequence: int
    vm: str
    sent_s: float
