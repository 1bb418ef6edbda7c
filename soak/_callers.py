"""Simulated callers: they open flows, send requests, retransmit and retry by the protocol."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from ._datagrams import DatagramSocket
from ._layout import PACKET_PORT
from ._records import Context, Outcome, RequestResult, Reset
from ._router import Router
from ._wire import ACK, FIN, RST, SYN, FlowId, Segment, decode, encode

__all__ = ["Caller", "RequestKind"]

# Wait after each transmission of an opening; the last one ends the attempt.
OPENING_TIMEOUTS_S = (0.2, 0.4, 0.8)
INITIAL_RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
REQUEST_TIMEOUT_S = 5.0
MAX_RETRIES = 2
RETRY_DELAY_S = 0.1
MEAN_THINK_TIME_S = 0.25
# Mean number of requests on a long flow before its caller closes it.
MEAN_FLOW_REQUESTS = 60


class RequestKind(Enum):
    """Whether a request may be retried after a failure."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class _OpeningFailedError(Exception):
    """The opening of a flow failed."""

    def __init__(self, outcome: Outcome):
        super().__init__(outcome.value)
        self.outcome = outcome


@dataclass(kw_only=True, slots=True)
class _Flow:
    id: FlowId
    sequence: int
    opened_s: float
    token: int = 0
    acknowledged: int = 0
    target: str = ""
    is_open: bool = False
    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)


class Caller:
    """One caller: a host address and its flows.

    Parameters
    ----------
    host, zone : str
    router : Router
    context : Context
    rng : Random
    """

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        router: Router,
        context: Context,
        rng: Random,
    ):
        self.host = host
        self.zone = zone
        self.router = router
        self.context = context
        self.records = context.records
        self.clock = context.clock
        self.rng = rng
        self._flows: dict[int, _Flow] = {}
        self._caller_ports = itertools.count(1024)
        self._request_numbers = itertools.count(1)
        self._socket = DatagramSocket(on_datagram=self._handle_datagram)

    async def start(self) -> None:
        """Bind the socket."""
        await self._socket.start(self.host, PACKET_PORT)

    def stop(self) -> None:
        """Close the socket."""
        self._socket.stop()

    # Requests

    async def send_request(self, route: tuple[str, int], kind: RequestKind) -> None:
        """Send one request, with retries, each attempt on a new flow."""
        started_s = self.clock()
        outcome = Outcome.TIMEOUT
        for _ in range(1 + MAX_RETRIES):
            request_id = self._create_request_id(kind)
            try:
                flow = await self._open(route)
            except _OpeningFailedError as exc:
                outcome = exc.outcome
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            outcome = await self._exchange(flow, request_id)
            self._close(flow)
            if outcome is Outcome.ANSWERED or kind is RequestKind.NON_IDEMPOTENT:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        self._record_result(started_s, request_id, outcome)

    async def run_long_flow(self, route: tuple[str, int]) -> None:
        """Send requests on one flow until cancelled; open a new one whenever the flow ends."""
        flow = None
        while True:
            started_s = self.clock()
            outcome = Outcome.TIMEOUT
            for _ in range(1 + MAX_RETRIES):
                request_id = self._create_request_id(RequestKind.IDEMPOTENT)
                try:
                    flow = flow or await self._open(route)
                    outcome = await self._exchange(flow, request_id)
                except _OpeningFailedError as exc:
                    outcome = exc.outcome
                if outcome is Outcome.ANSWERED:
                    break
                flow = self._close(flow)
                await asyncio.sleep(RETRY_DELAY_S)
            self._record_result(started_s, request_id, outcome)
            if flow is not None and self.rng.random() < 1 / MEAN_FLOW_REQUESTS:
                flow = self._close(flow)
            await asyncio.sleep(MEAN_THINK_TIME_S * (0.5 + self.rng.random()))

    async def probe(self, route: tuple[str, int], spec) -> None:
        """Open a flow through a given VM, to see which configuration version it applies."""
        with contextlib.suppress(_OpeningFailedError):
            flow = await self._open(route, send=lambda _, data: self.router.send_to(spec, data))
            self._close(flow)

    def _create_request_id(self, kind: RequestKind) -> str:
        request_id = f"{self.host}-{next(self._request_numbers)}"
        if kind is RequestKind.NON_IDEMPOTENT:
            self.records.non_idempotent.add(request_id)
        return request_id

    def _record_result(self, started_s: float, request_id: str, outcome: Outcome) -> None:
        self.records.results.append(
            RequestResult(
                started_s=started_s, ended_s=self.clock(), request_id=request_id, outcome=outcome
            )
        )

    # Flows

    async def _open(self, route: tuple[str, int], send=None) -> _Flow:
        flow = _Flow(
            id=FlowId(self.host, next(self._caller_ports), *route),
            sequence=self.rng.randrange(2**32),
            opened_s=self.clock(),
        )
        send = send or (lambda _, data: self.router.send(flow.id, self.zone, data))
        self._flows[flow.id.caller_port] = flow
        self.context.opening_sent_s[flow.id] = flow.opened_s
        for copy_number, timeout_s in enumerate(OPENING_TIMEOUTS_S):
            send(flow, self._encode(flow, Segment(SYN, 0, flow.sequence, copy_number, b"")))
            segment = await self._receive_segment(flow, timeout_s)
            if segment is None:
                continue
            if segment.flags & RST:
                self._flows.pop(flow.id.caller_port, None)
                raise _OpeningFailedError(Outcome.REFUSED)
            flow.is_open = True
            flow.token = segment.token
            flow.sequence = (flow.sequence + 1) % 2**32
            flow.acknowledged = segment.sequence
            acknowledgement = Segment(ACK, flow.token, flow.sequence, flow.acknowledged, b"")
            send(flow, self._encode(flow, acknowledgement))
            return flow
        self._flows.pop(flow.id.caller_port, None)
        raise _OpeningFailedError(Outcome.NOT_OPENED)

    async def _exchange(self, flow: _Flow, request_id: str) -> Outcome:
        payload = request_id.encode()
        end_s = self.clock() + REQUEST_TIMEOUT_S
        retransmit_s = INITIAL_RETRANSMIT_S
        while self.clock() < end_s:
            self._send(flow, ACK, payload)
            segment = await self._receive_segment(flow, min(retransmit_s, end_s - self.clock()))
            retransmit_s = min(MAX_RETRANSMIT_S, 2 * retransmit_s)
            if segment is None:
                continue
            if segment.flags & RST:
                return Outcome.RESET
            if self._is_answer(flow, segment, request_id):
                flow.sequence = (flow.sequence + len(payload)) % 2**32
                flow.acknowledged = (segment.sequence + len(segment.payload)) % 2**32
                self._send(flow, ACK, b"")
                return Outcome.ANSWERED
        return Outcome.TIMEOUT

    def _is_answer(self, flow: _Flow, segment: Segment, request_id: str) -> bool:
        """Return whether a segment answers the request; earlier answers may be duplicated."""
        answered, _, flow.target = segment.payload.decode().partition(" by ")
        if answered.rpartition("-")[0] != self.host:
            self.records.violations.append(f"{flow.id} received the answer to {answered!r}")
        return answered == request_id

    def _close(self, flow: _Flow | None) -> None:
        if flow is not None and self._flows.pop(flow.id.caller_port, None) is not None:
            self._send(flow, FIN | ACK, b"")

    def _send(self, flow: _Flow, flags: int, payload: bytes) -> None:
        segment = Segment(flags, flow.token, flow.sequence, flow.acknowledged, payload)
        self.router.send(flow.id, self.zone, self._encode(flow, segment))

    def _encode(self, flow: _Flow, segment: Segment) -> bytes:
        return encode(
            (flow.id.caller, flow.id.caller_port), (flow.id.route, flow.id.route_port), segment
        )

    async def _receive_segment(self, flow: _Flow, timeout_s: float) -> Segment | None:
        """Return the next segment received on the flow, or None after `timeout_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout_s)):
                return await flow.inbox.get()
        return None

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        source, destination, segment = decode(data)
        flow = self._flows.get(destination[1])
        if flow is None or source != (flow.id.route, flow.id.route_port):
            return
        if segment.flags & RST and sender[0] in self.context.vm_by_host:
            self._observe_vm_reset(flow, self.context.vm_by_host[sender[0]])
        elif not segment.has_valid_checksum:
            self.records.violations.append(f"{sender[0]} sent a modified packet of {flow.id}")
            return
        elif segment.flags & SYN:
            if flow.is_open:
                return  # another target answered a retransmitted opening
            flow.target = self.context.target_by_address[sender]
        elif segment.payload:
            flow.token = segment.token
        flow.inbox.put_nowait(segment)

    def _observe_vm_reset(self, flow: _Flow, vm: str) -> None:
        self.records.resets.append(
            Reset(
                at_s=self.clock(),
                flow=flow.id,
                opened_s=flow.opened_s,
                target=flow.target if flow.is_open else "",
                vm=vm,
            )
        )
