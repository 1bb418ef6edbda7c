"""Targets that take flows by the published protocol and note what reaches them."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from ._datagrams import DatagramAddress
from ._layout import PACKET_PORT
from ._records import Context, Opening, Run
from ._wire import ACK, FIN, RST, SYN, FlowId, Segment, decode, encode

__all__ = ["Target", "TargetState"]

IDENTITY_BYTES = 8
WORK_S = 0.03
SLOTS = 3
FIRST_SEQUENCE = 1_000


class TargetState(Enum):
    """Whether a target runs."""

    SERVING = "serving"
    DARK = "dark"
    ENDED = "ended"


@dataclass(kw_only=True, slots=True)
class _Flow:
    token: int
    expected: int
    sent: int = FIRST_SEQUENCE
    answer: bytes = b""
    answered: int = -1
    is_open: bool = False


class Target:
    """One process of a service.

    Parameters
    ----------
    name : str
        Key of its record, such as ``i-1f``.
    host : str
    port : int
    service, zone : str
    context : Context
    """

    def __init__(
        self,
        *,
        name: str,
        host: str,
        port: int,
        service: str,
        zone: str,
        context: Context,
    ):
        self.name = name
        self.host = host
        self.port = port
        self.service = service
        self.zone = zone
        self.context = context
        self.state = TargetState.SERVING
        self.is_draining = False
        self._flows: dict[FlowId, _Flow] = {}
        self._address = DatagramAddress(receive=self._receive)
        self._slots = asyncio.Semaphore(SLOTS)
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Bind the address."""
        await self._address.start(self.host, self.port)

    def end(self) -> None:
        """The process is gone and its flows with it; its machine resets what still comes."""
        self.state = TargetState.ENDED
        self._flows.clear()

    def stop(self) -> None:
        """Give the address back."""
        self.end()
        for task in self._tasks:
            task.cancel()
        self._address.stop()

    def build_record(self) -> dict:
        """Return what the target says of itself in the store."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        identity = int.from_bytes(data[:IDENTITY_BYTES], "big")
        if self.state is TargetState.DARK or identity != int(self.name.rpartition("-")[2], 16):
            return
        source, destination, segment = decode(data[IDENTITY_BYTES:])
        flow = FlowId(*source, *destination)
        vm = self.context.vm_by_host.get(sender[0], sender[0])
        if not segment.is_sealed:
            self.context.records.violations.append(f"{vm} sent {self.name} changed bytes of {flow}")
            return
        if self.state is TargetState.ENDED:
            self._send(flow, Segment(RST, segment.token, 0, 0, b""))
        elif segment.flags & SYN:
            self._observe_opening(flow, segment, vm)
        else:
            self._observe_segment(flow, segment)

    def _observe_opening(self, flow: FlowId, segment: Segment, vm: str) -> None:
        now_s = self.context.clock()
        self.context.records.openings.append(
            Opening(
                at_s=now_s,
                sent_s=self.context.sent_at.get(flow, now_s),
                flow=flow,
                target=self.name,
                service=self.service,
                vm=vm,
            )
        )
        known = self._flows.setdefault(
            flow, _Flow(token=segment.token, expected=segment.sequence + 1)
        )
        known.token = segment.token
        self._send(flow, Segment(SYN | ACK, known.token, known.sent, known.expected, b""))

    def _observe_segment(self, flow: FlowId, segment: Segment) -> None:
        known = self._flows.get(flow)
        if known is None:
            self._send(flow, Segment(RST, segment.token, 0, 0, b""))
            return
        known.is_open = True
        known.token = segment.token
        if segment.flags & (FIN | RST):
            del self._flows[flow]
            return
        if not segment.payload:
            return
        if segment.sequence == known.answered:
            self._answer(flow, known)
        elif segment.sequence == known.expected:
            known.expected += len(segment.payload)
            task = asyncio.create_task(self._work(flow, known, segment))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _work(self, flow: FlowId, known: _Flow, segment: Segment) -> None:
        async with self._slots:
            if self.state is not TargetState.SERVING or self._flows.get(flow) is not known:
                return
            request = segment.payload.decode()
            self.context.records.runs.append(
                Run(
                    at_s=self.context.clock(),
                    request=request,
                    flow=flow,
                    target=self.name,
                    service=self.service,
                )
            )
            await asyncio.sleep(WORK_S)
        known.sent += len(known.answer)
        known.answer = f"{request} by {self.name}".encode()
        known.answered = segment.sequence
        if self.state is TargetState.SERVING:
            self._answer(flow, known)

    def _answer(self, flow: FlowId, known: _Flow) -> None:
        self._send(flow, Segment(ACK, known.token, known.sent, known.expected, known.answer))

    def _send(self, flow: FlowId, segment: Segment) -> None:
        data = encode((flow.route, flow.route_port), (flow.caller, flow.caller_port), segment)
        self._address.send(data, (flow.caller, PACKET_PORT))
