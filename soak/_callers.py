"""Callers that open flows, ask, repeat what is lost and retry, by the published protocol."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from ._datagrams import DatagramAddress
from ._layout import PACKET_PORT
from ._records import Answer, Context, Outcome, Reset
from ._router import Router
from ._wire import ACK, FIN, RST, SYN, FlowId, Segment, decode, encode

__all__ = ["Caller", "RequestKind"]

COPY_AFTER_S = (0.2, 0.4, 0.8)
FIRST_REPEAT_S = 0.2
MAX_REPEAT_S = 1.6
TIME_BUDGET_S = 5.0
RETRIES = 2
RETRY_PAUSE_S = 0.1
LONG_PAUSE_S = 0.25
# Callers keep a long flow for this many requests.
LONG_REQUESTS = 60


class RequestKind(Enum):
    """Whether a request may run again after a failure."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class _FlowEndedError(Exception):
    """The flow cannot go on."""

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
    """One caller's address and its flows.

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
        self._ports = itertools.count(1024)
        self._requests = itertools.count(1)
        self._address = DatagramAddress(receive=self._receive)

    async def start(self) -> None:
        """Bind the address."""
        await self._address.start(self.host, PACKET_PORT)

    def stop(self) -> None:
        """Close the socket."""
        self._address.stop()

    # Load

    async def ask_once(self, route: tuple[str, int], kind: RequestKind) -> None:
        """Ask one request on a flow of its own, with retries."""
        asked_s = self.clock()
        outcome = Outcome.TIMEOUT
        for _ in range(1 + RETRIES):
            request = self._name_request(kind)
            try:
                flow = await self._open(route)
            except _FlowEndedError as exc:
                outcome = exc.outcome
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            outcome = await self._ask(flow, request)
            self._close(flow)
            if outcome is Outcome.ANSWERED or kind is RequestKind.NON_IDEMPOTENT:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        self._note(asked_s, request, outcome)

    async def ask_often(self, route: tuple[str, int]) -> None:
        """Ask on one flow for ever, and open the next one when it ends."""
        flow = None
        while True:
            asked_s = self.clock()
            outcome = Outcome.TIMEOUT
            for _ in range(1 + RETRIES):
                request = self._name_request(RequestKind.IDEMPOTENT)
                try:
                    flow = flow or await self._open(route)
                    outcome = await self._ask(flow, request)
                except _FlowEndedError as exc:
                    outcome = exc.outcome
                if outcome is Outcome.ANSWERED:
                    break
                flow = self._close(flow)
                await asyncio.sleep(RETRY_PAUSE_S)
            self._note(asked_s, request, outcome)
            if flow is not None and self.rng.random() < 1 / LONG_REQUESTS:
                flow = self._close(flow)
            await asyncio.sleep(LONG_PAUSE_S * (0.5 + self.rng.random()))

    async def probe(self, route: tuple[str, int], place) -> None:
        """Open a flow through a certain VM, to see which version it has in force."""
        with contextlib.suppress(_FlowEndedError):
            flow = await self._open(route, send=lambda _, data: self.router.send_to(place, data))
            self._close(flow)

    def _name_request(self, kind: RequestKind) -> str:
        request = f"{self.host}-{next(self._requests)}"
        if kind is RequestKind.NON_IDEMPOTENT:
            self.records.non_idempotent.add(request)
        return request

    def _note(self, asked_s: float, request: str, outcome: Outcome) -> None:
        self.records.answers.append(
            Answer(asked_s=asked_s, ended_s=self.clock(), request=request, outcome=outcome)
        )

    # Flows

    async def _open(self, route: tuple[str, int], send=None) -> _Flow:
        flow = _Flow(
            id=FlowId(self.host, next(self._ports), *route),
            sequence=self.rng.randrange(2**32),
            opened_s=self.clock(),
        )
        send = send or (lambda _, data: self.router.send(flow.id, self.zone, data))
        self._flows[flow.id.caller_port] = flow
        self.context.sent_at[flow.id] = flow.opened_s
        for copies, wait_s in enumerate(COPY_AFTER_S):
            send(flow, self._encode(flow, Segment(SYN, 0, flow.sequence, copies, b"")))
            segment = await self._wait(flow, wait_s)
            if segment is None:
                continue
            if segment.flags & RST:
                self._flows.pop(flow.id.caller_port, None)
                raise _FlowEndedError(Outcome.REFUSED)
            flow.is_open = True
            flow.token = segment.token
            flow.sequence = (flow.sequence + 1) % 2**32
            flow.acknowledged = segment.sequence
            send(flow, self._encode(flow, Segment(ACK, flow.token, flow.sequence, 0, b"")))
            return flow
        self._flows.pop(flow.id.caller_port, None)
        raise _FlowEndedError(Outcome.NOT_OPENED)

    async def _ask(self, flow: _Flow, request: str) -> Outcome:
        payload = request.encode()
        end_s = self.clock() + TIME_BUDGET_S
        repeat_s = FIRST_REPEAT_S
        while self.clock() < end_s:
            self._send(flow, ACK, payload)
            segment = await self._wait(flow, min(repeat_s, end_s - self.clock()))
            repeat_s = min(MAX_REPEAT_S, 2 * repeat_s)
            if segment is None:
                continue
            if segment.flags & RST:
                return Outcome.RESET
            if self._is_answer(flow, segment, request):
                flow.sequence = (flow.sequence + len(payload)) % 2**32
                flow.acknowledged = (segment.sequence + len(segment.payload)) % 2**32
                self._send(flow, ACK, b"")
                return Outcome.ANSWERED
        return Outcome.TIMEOUT

    def _is_answer(self, flow: _Flow, segment: Segment, request: str) -> bool:
        """Return whether a segment answers `request`; a former answer may come twice."""
        answered, _, flow.target = segment.payload.decode().partition(" by ")
        if answered.rpartition("-")[0] != self.host:
            self.records.violations.append(f"{flow.id} got the answer to {answered!r}")
        return answered == request

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

    async def _wait(self, flow: _Flow, wait_s: float) -> Segment | None:
        """Return the next segment that is a reset, opens the flow or carries an answer."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, wait_s)):
                return await flow.inbox.get()
        return None

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        source, destination, segment = decode(data)
        flow = self._flows.get(destination[1])
        if flow is None or source != (flow.id.route, flow.id.route_port):
            return
        if segment.flags & RST and sender[0] in self.context.vm_by_host:
            self._observe_system_reset(flow, self.context.vm_by_host[sender[0]])
        elif not segment.is_sealed:
            self.records.violations.append(f"{sender[0]} sent {flow.id} changed bytes")
            return
        elif segment.flags & SYN:
            if flow.is_open:
                return  # a second target answered a copy of the opening
            flow.target = sender[0]
        elif segment.payload:
            flow.token = segment.token
        flow.inbox.put_nowait(segment)

    def _observe_system_reset(self, flow: _Flow, vm: str) -> None:
        self.records.resets.append(
            Reset(
                at_s=self.clock(),
                flow=flow.id,
                opened_s=flow.opened_s,
                target=flow.target if flow.is_open else "",
                vm=vm,
            )
        )
