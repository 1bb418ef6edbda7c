"""Long flows of the caller stand-in: open, numbered data with echo, close."""

from dataclasses import dataclass
from enum import Enum, auto

import msgpack

from mulberryswitch.contracts import Packet, PacketKind, Reply, ReplyKind, ResultCode

__all__ = ["FlowPhase", "LongFlow", "LongFlowPlan"]

DATA_PERIOD_S = 0.2
OPEN_RETRY_S = 0.5
SILENCE_S = 5.0  # without an echo for this long the flow counts as broken
MAX_CLOSES = 10


class FlowPhase(Enum):
    """Where a long flow is in its life."""

    OPENING = auto()
    OPEN = auto()
    CLOSING = auto()
    CLOSED = auto()
    BROKEN = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class LongFlowPlan:
    """Identity of a long flow."""

    flow: bytes
    service: str
    address: str


class LongFlow:
    """State of one long flow.

    Parameters
    ----------
    plan : LongFlowPlan
        Identity.
    next_s : float
        Monotonic time of the first packet.
    """

    def __init__(self, *, plan: LongFlowPlan, next_s: float):
        self.plan = plan
        self.next_s = next_s
        self.phase = FlowPhase.OPENING
        self.reason = ""
        self.echoes = 0
        self._number = 1
        self._heard_s = 0.0
        self._closes = 0

    def decide_packet(self, now_s: float) -> Packet | None:
        """Return the packet that is due, if any."""
        if now_s < self.next_s:
            return None
        if self.phase is FlowPhase.OPENING:
            self.next_s = now_s + OPEN_RETRY_S
            return self._build_packet(PacketKind.OPEN, 0)
        if self.phase is FlowPhase.OPEN:
            self._check_silence(now_s)
        self.next_s = now_s + DATA_PERIOD_S
        if self.phase is FlowPhase.OPEN:
            return self._build_packet(PacketKind.DATA, self._number)
        if self.phase is FlowPhase.CLOSING and self._closes < MAX_CLOSES:
            self._closes += 1
            return self._build_packet(PacketKind.CLOSE, 0)
        return None

    def _check_silence(self, now_s: float) -> None:
        if now_s - self._heard_s > SILENCE_S:
            self._break(f"no echo for {SILENCE_S:.0f} s")

    def _break(self, reason: str) -> None:
        self.phase = FlowPhase.BROKEN
        self.reason = reason

    def _build_body(self, number: int) -> bytes:
        return msgpack.packb({"service": self.plan.service, "number": number})

    def _build_packet(self, kind: PacketKind, number: int) -> Packet:
        return Packet(
            kind=kind,
            flow=self.plan.flow,
            address=self.plan.address,
            request_id=number,
            body=self._build_body(number),
        )

    def observe_reply(self, reply: Reply, now_s: float) -> None:
        """Take in a reply of the flow."""
        if self.phase is FlowPhase.OPENING and reply.kind == ReplyKind.OPENED:
            self.phase, self._heard_s, self.next_s = FlowPhase.OPEN, now_s, now_s
        elif self.phase is FlowPhase.CLOSING and reply.kind == ReplyKind.CLOSED:
            self.phase = FlowPhase.CLOSED
        elif self.phase is FlowPhase.OPEN:
            self._observe_while_open(reply, now_s)

    def _observe_while_open(self, reply: Reply, now_s: float) -> None:
        if reply.kind == ReplyKind.DATA and reply.body == self._build_body(self._number):
            self._number += 1
            self.echoes += 1
            self._heard_s = now_s
        elif reply.kind == ReplyKind.CLOSED:
            self._break(f"closed with code {reply.code}")
        elif reply.kind == ReplyKind.REFUSED and reply.code == ResultCode.UNKNOWN_FLOW:
            self._break("refused as unknown flow")

    def apply_end(self) -> None:
        """Start to close an open flow."""
        if self.phase is FlowPhase.OPEN:
            self.phase, self.next_s = FlowPhase.CLOSING, 0.0
