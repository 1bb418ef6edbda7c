"""Simulated targets: they accept flows by the protocol and record what they receive."""

import asyncio
import itertools
from dataclasses import dataclass
from enum import Enum

from ._datagrams import DatagramSocket
from ._layout import PACKET_PORT
from ._records import Context, Opening, Run
from ._wire import ACK, FIN, RST, SYN, FlowId, Segment, decode, encode

__all__ = ["Target", "TargetState"]

IDENTITY_BYTES = 8
SERVICE_TIME_S = 0.03
SLOTS = 3
# Distance of the initial sequence numbers of two flows; more than the bytes of all answers of one.
SEQUENCE_STEP = 1_000_003


class TargetState(Enum):
    """State of a target's process."""

    SERVING = "serving"
    UNRESPONSIVE = "dark"
    ENDED = "ended"


@dataclass(kw_only=True, slots=True)
class _FlowState:
    token: int
    expected_sequence: int
    next_sequence: int
    answer: bytes = b""
    answered_sequence: int = -1
    is_open: bool = False


class Target:
    """One target of a service.

    Parameters
    ----------
    name : str
        Key of its record in the store, such as ``i-1f``.
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
        self._flows: dict[FlowId, _FlowState] = {}
        self._initial_sequences = (number * SEQUENCE_STEP % 2**32 for number in itertools.count(1))
        self._socket = DatagramSocket(on_datagram=self._handle_datagram)
        self._slots = asyncio.Semaphore(SLOTS)
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Bind the socket."""
        await self._socket.start(self.host, self.port)

    def end(self) -> None:
        """End the process and drop its flows; its host answers later packets with resets."""
        self.state = TargetState.ENDED
        self._flows.clear()

    def stop(self) -> None:
        """End the process and release its address."""
        self.end()
        for task in self._tasks:
            task.cancel()
        self._socket.stop()

    def build_record(self) -> dict:
        """Return the target's record in the store."""
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

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        identity = int.from_bytes(data[:IDENTITY_BYTES], "big")
        if self.state is TargetState.UNRESPONSIVE or identity != int(
            self.name.rpartition("-")[2], 16
        ):
            return
        source, destination, segment = decode(data[IDENTITY_BYTES:])
        flow = FlowId(*source, *destination)
        vm = self.context.vm_by_host.get(sender[0], sender[0])
        if not segment.has_valid_checksum:
            self.context.records.violations.append(
                f"{vm} sent {self.name} a modified packet of {flow}"
            )
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
                sent_s=self.context.opening_sent_s.get(flow, now_s),
                flow=flow,
                target=self.name,
                service=self.service,
                vm=vm,
            )
        )
        flow_state = self._flows.get(flow)
        if flow_state is None:
            flow_state = self._flows[flow] = _FlowState(
                token=segment.token,
                expected_sequence=segment.sequence + 1,
                next_sequence=next(self._initial_sequences),
            )
        flow_state.token = segment.token
        self._send(
            flow,
            Segment(
                SYN | ACK,
                flow_state.token,
                flow_state.next_sequence,
                flow_state.expected_sequence,
                b"",
            ),
        )

    def _observe_segment(self, flow: FlowId, segment: Segment) -> None:
        flow_state = self._flows.get(flow)
        is_accepted = flow_state is not None and (
            flow_state.is_open or segment.acknowledged == flow_state.next_sequence
        )
        if not is_accepted:
            self._send(flow, Segment(RST, segment.token, 0, 0, b""))
            return
        flow_state.is_open = True
        flow_state.token = segment.token
        if segment.flags & (FIN | RST):
            del self._flows[flow]
            return
        if not segment.payload:
            return
        if segment.sequence == flow_state.answered_sequence:
            self._send_answer(flow, flow_state)
        elif segment.sequence == flow_state.expected_sequence:
            flow_state.expected_sequence += len(segment.payload)
            task = asyncio.create_task(self._run_request(flow, flow_state, segment))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run_request(self, flow: FlowId, flow_state: _FlowState, segment: Segment) -> None:
        async with self._slots:
            if self.state is not TargetState.SERVING or self._flows.get(flow) is not flow_state:
                return
            request_id = segment.payload.decode()
            self.context.records.runs.append(
                Run(
                    at_s=self.context.clock(),
                    request_id=request_id,
                    flow=flow,
                    target=self.name,
                    service=self.service,
                )
            )
            await asyncio.sleep(SERVICE_TIME_S)
        flow_state.next_sequence += len(flow_state.answer)
        flow_state.answer = f"{request_id} by {self.name}".encode()
        flow_state.answered_sequence = segment.sequence
        if self.state is TargetState.SERVING:
            self._send_answer(flow, flow_state)

    def _send_answer(self, flow: FlowId, flow_state: _FlowState) -> None:
        self._send(
            flow,
            Segment(
                ACK,
                flow_state.token,
                flow_state.next_sequence,
                flow_state.expected_sequence,
                flow_state.answer,
            ),
        )

    def _send(self, flow: FlowId, segment: Segment) -> None:
        data = encode((flow.route, flow.route_port), (flow.caller, flow.caller_port), segment)
        self._socket.send(data, (flow.caller, PACKET_PORT))
