"""Caller stand-in: long flows and requests on several services, with a record of each outcome."""

import asyncio
import random
import socket
import time
from collections.abc import Iterator
from configparser import ConfigParser, SectionProxy
from dataclasses import dataclass
from itertools import count
from pathlib import Path

from mulberryswitch.contracts import FABRIC_CODEC, DecodeError, Packet, Reply

from ._datagrams import Address, open_datagram_socket, send_datagram, watch_datagrams
from ._long_flows import FlowPhase, LongFlow, LongFlowPlan
from ._process import parse_endpoint, run_program
from ._records import RecordFile
from ._requests import Request, RequestPlan, RetryPolicy

__all__ = ["Caller", "ServiceLoad", "parse_loads", "serve"]

TICK_S = 0.005
FLOW_BYTES = 8
SERVICE_PREFIX = "service "


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLoad:
    """Load on one service; rates per second, sizes in bytes."""

    service: str
    address: str
    rate: float
    long_flows: int
    idempotent_share: float
    work_ms: int
    answer_bytes: int


class Caller:
    """Open requests and long flows of one caller.

    Parameters
    ----------
    sock : socket.socket
        UDP socket of the caller.
    fabric : Address
        Where packets are sent.
    policy : RetryPolicy
        Bounds of each request.
    record : RecordFile
        Receives each final outcome.
    rng : random.Random
        Source of flow ids and jitter.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        fabric: Address,
        policy: RetryPolicy,
        record: RecordFile,
        rng: random.Random,
    ):
        self._sock = sock
        self._fabric = fabric
        self._policy = policy
        self._record = record
        self._rng = rng
        self._ids = count(1)
        self.requests: dict[bytes, Request] = {}
        self.flows: dict[bytes, LongFlow] = {}

    def receive(self, data: bytes, source: Address) -> None:
        """Hand a reply to its request or flow."""
        try:
            reply = FABRIC_CODEC.decode(data)
        except DecodeError:
            return
        if not isinstance(reply, Reply):
            return
        if reply.flow in self.flows:
            self.flows[reply.flow].observe_reply(reply, time.monotonic())
            return
        req = self.requests.get(reply.flow)
        if req and reply.request_id == req.plan.request_id:
            req.observe_reply(reply, time.monotonic())
            self._settle(req)

    def add_flow(self, load: ServiceLoad, next_s: float) -> None:
        """Start a long flow at monotonic time `next_s`."""
        flow = self._rng.randbytes(FLOW_BYTES)
        plan = LongFlowPlan(flow=flow, service=load.service, address=load.address)
        self.flows[flow] = LongFlow(plan=plan, next_s=next_s)

    def add_request(self, load: ServiceLoad) -> None:
        """Start a request on a flow of its own; its work and answer vary by a factor of 3."""
        plan = RequestPlan(
            flow=self._rng.randbytes(FLOW_BYTES),
            request_id=next(self._ids),
            service=load.service,
            address=load.address,
            idempotent=self._rng.random() < load.idempotent_share,
            work_ms=round(load.work_ms * self._rng.uniform(0.5, 1.5)),
            answer_bytes=round(load.answer_bytes * self._rng.uniform(0.5, 1.5)),
        )
        req = Request(plan=plan, policy=self._policy, rng=self._rng)
        self.requests[plan.flow] = req
        self._send(req.decide_packet(time.monotonic(), time.time()))

    def tick(self) -> None:
        """Send every packet that is due."""
        now_s, wall_s = time.monotonic(), time.time()
        for req in list(self.requests.values()):
            self._send(req.decide_packet(now_s, wall_s))
            self._settle(req)
        for flow in self.flows.values():
            self._send(flow.decide_packet(now_s))

    def _send(self, packet: Packet | None) -> None:
        if packet:
            send_datagram(self._sock, FABRIC_CODEC.encode(packet), self._fabric)

    def _settle(self, req: Request) -> None:
        if not req.outcome or req.plan.flow not in self.requests:
            return
        del self.requests[req.plan.flow]
        self._record.append(
            "request",
            flow=req.plan.flow.hex(),
            request_id=req.plan.request_id,
            asked_service=req.plan.service,
            idempotent=req.plan.idempotent,
            outcome=req.outcome,
            attempts=req.attempt,
            codes=req.codes,
        )

    def apply_end(self) -> None:
        """Start to close the long flows."""
        for flow in self.flows.values():
            flow.apply_end()

    def is_idle(self) -> bool:
        """Return whether all requests have an outcome and no flow waits for its close."""
        closing = any(flow.phase is FlowPhase.CLOSING for flow in self.flows.values())
        return not self.requests and not closing

    def finish(self) -> None:
        """Record what is still open."""
        for req in list(self.requests.values()):
            req.apply_end()
            self._settle(req)
        for flow in self.flows.values():
            self._record.append(
                "long_flow",
                flow=flow.plan.flow.hex(),
                asked_service=flow.plan.service,
                phase=flow.phase.name.lower(),
                reason=flow.reason,
                echoes=flow.echoes,
            )


def _parse_load(service: str, section: SectionProxy) -> ServiceLoad:
    return ServiceLoad(
        service=service,
        address=section["address"],
        rate=section.getfloat("rate"),
        long_flows=section.getint("long_flows"),
        idempotent_share=section.getfloat("idempotent_share"),
        work_ms=section.getint("work_ms"),
        answer_bytes=section.getint("answer_bytes"),
    )


def parse_loads(cfg: ConfigParser) -> Iterator[ServiceLoad]:
    """Yield the load of each ``[service NAME]`` section."""
    for title in cfg.sections():
        if title.startswith(SERVICE_PREFIX):
            yield _parse_load(title.removeprefix(SERVICE_PREFIX), cfg[title])


async def _tick_until(caller: Caller, end_s: float, stop: asyncio.Event) -> None:
    while time.monotonic() < end_s and not stop.is_set() and not caller.is_idle():
        caller.tick()
        await asyncio.sleep(TICK_S)


async def _load_until(
    caller: Caller, loads: list[ServiceLoad], end_s: float, stop: asyncio.Event
) -> None:
    start_s = time.monotonic()
    sent = [0] * len(loads)
    while time.monotonic() < end_s and not stop.is_set():
        for index, load in enumerate(loads):
            due = int((time.monotonic() - start_s) * load.rate)
            for _ in range(due - sent[index]):
                caller.add_request(load)
            sent[index] = max(due, sent[index])
        caller.tick()
        await asyncio.sleep(TICK_S)


async def serve(cfg: ConfigParser, stop: asyncio.Event) -> None:
    """Send the load for ``seconds``, then wait at most ``drain_s`` for outcomes."""
    section = cfg["caller"]
    rng = random.Random(section.getint("seed", 1))
    sock = open_datagram_socket("127.0.0.1", 0)
    caller = Caller(
        sock=sock,
        fabric=parse_endpoint(section["fabric"]),
        policy=RetryPolicy(
            max_attempts=section.getint("max_attempts", 6),
            attempt_timeout_s=section.getfloat("attempt_timeout_s", 1.5),
        ),
        record=RecordFile(path=Path(section["record"]), fixed={"caller": section["name"]}),
        rng=rng,
    )
    watch_datagrams(sock, caller.receive)
    loads = list(parse_loads(cfg))
    now_s = time.monotonic()
    flow_spread_s = section.getfloat("flow_spread_s", 1.0)
    for load in loads:
        for _ in range(load.long_flows):
            caller.add_flow(load, now_s + rng.uniform(0.0, flow_spread_s))
    await _load_until(caller, loads, now_s + section.getfloat("seconds"), stop)
    caller.apply_end()
    await _tick_until(caller, time.monotonic() + section.getfloat("drain_s", 16.0), stop)
    caller.finish()


if __name__ == "__main__":
    run_program(serve)
