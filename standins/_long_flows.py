"""Long flows of the simulated caller: open, numbered data with echo, close."""

from dataclasses import dataclass
from enum import Enum, auto

import msgpack

from mulberryswitch.contracts import Packet, PacketKind, Reply, ReplyKind, ResultCode

__all__ = ["FlowPhase", "LongFlow", "LongFlowSpec"]

DATA_INTERVAL_S = 0.2
OPEN_RETRY_INTERVAL_S = 0.5
ECHO_TIMEOUT_S = 5.0  # a flow without an echo for this long counts as broken
MAX_CLOSE_ATTEMPTS = 10


class FlowPhase(Enum):
    """Lifecycle phase of a long flow."""

    OPENING = auto()
    OPEN = auto()
    CLOSING = auto()
    CLOSED = auto()
    BROKEN = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class LongFlowSpec:
    """Identity of a long flow and the service that it uses."""

    flow: bytes
    service: str
    address: str


class LongFlow:
    """State of one long flow.

    Parameters
    ----------
    spec : LongFlowSpec
        Identity of the flow.
    next_s : float
        Monotonic time of the first packet.
    """

    def __init__(self, *, spec: LongFlowSpec, next_s: float):
        self.spec = spec
        self.next_s = next_s
        self.phase = FlowPhase.OPENING
        self.reason = ""
        self.echoes = 0
        self._next_number = 1
        self._last_reply_s = 0.0
        self._close_attempts = 0

    def decide_packet(self, now_s: float) -> Packet | None:
        """Return the packet that is due at `now_s`, if any."""
        if now_s < self.next_s:
            return None
        if self.phase is FlowPhase.OPENING:
            self.next_s = now_s + OPEN_RETRY_INTERVAL_S
            return self._build_packet(PacketKind.OPEN, 0)
        if self.phase is FlowPhase.OPEN:
            self._check_echo_timeout(now_s)
        self.next_s = now_s + DATA_INTERVAL_S
        if self.phase is FlowPhase.OPEN:
            return self._build_packet(PacketKind.DATA, self._next_number)
        if self.phase is FlowPhase.CLOSING and self._close_attempts < MAX_CLOSE_ATTEMPTS:
            self._close_attempts += 1
            return self._build_packet(PacketKind.CLOSE, 0)
        return None

    def _check_echo_timeout(self, now_s: float) -> None:
        if now_s - self._last_reply_s > ECHO_TIMEOUT_S:
            self._mark_broken(f"no echo for {ECHO_TIMEOUT_S:.0f} s")

    def _mark_broken(self, reason: str) -> None:
        self.phase = FlowPhase.BROKEN
        self.reason = reason

    def _build_body(self, number: int) -> bytes:
        return msgpack.packb({"service": self.spec.service, "number": number})

    def _build_packet(self, kind: PacketKind, number: int) -> Packet:
        return Packet(
            kind=kind,
            flow=self.spec.flow,
            address=self.spec.address,
            request_id=number,
            body=self._build_body(number),
        )

    def observe_reply(self, reply: Reply, now_s: float) -> None:
        """Process a reply of the flow."""
        if self.phase is FlowPhase.OPENING and reply.kind == ReplyKind.OPENED:
            self.phase, self._last_reply_s, self.next_s = FlowPhase.OPEN, now_s, now_s
        elif self.phase is FlowPhase.CLOSING and reply.kind == ReplyKind.CLOSED:
            self.phase = FlowPhase.CLOSED
        elif self.phase is FlowPhase.OPEN:
            self._handle_reply_while_open(reply, now_s)

    def _handle_reply_while_open(self, reply: Reply, now_s: float) -> None:
        if reply.kind == ReplyKind.DATA and reply.body == self._build_body(self._next_number):
            self._next_number += 1
            self.echoes += 1
            self._last_reply_s = now_s
        elif reply.kind == ReplyKind.CLOSED:
            self._mark_broken(f"closed with code {reply.code}")
        elif reply.kind == ReplyKind.REFUSED and reply.code == ResultCode.UNKNOWN_FLOW:
            self._mark_broken("refused as unknown flow")

    def close(self) -> None:
        """Start closing the flow if it is open."""
        if self.phase is FlowPhase.OPEN:
            self.phase, self.next_s = FlowPhase.CLOSING, 0.0
