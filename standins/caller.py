"""Simulated caller: sends requests and long flows to several services and records outcomes."""

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
from ._long_flows import FlowPhase, LongFlow, LongFlowSpec
from ._process import parse_host_port, run_program
from ._records import RecordFile
from ._requests import Request, RequestSpec, RetryPolicy

__all__ = ["Caller", "ServiceLoad", "parse_loads", "run_load"]

TICK_INTERVAL_S = 0.005
FLOW_BYTES = 8
SERVICE_PREFIX = "service "


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLoad:
    """Load on one service; `rate` is in requests per second."""

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
        Address to which packets are sent.
    policy : RetryPolicy
        Limits of each request.
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
        self._request_ids = count(1)
        self.requests: dict[bytes, Request] = {}
        self.flows: dict[bytes, LongFlow] = {}

    def receive(self, data: bytes, source: Address) -> None:
        """Dispatch a reply to its request or long flow."""
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
        if req and reply.request_id == req.spec.request_id:
            req.observe_reply(reply, time.monotonic())
            self._record_outcome(req)

    def add_flow(self, load: ServiceLoad, next_s: float) -> None:
        """Add a long flow that is opened at monotonic time `next_s`."""
        flow = self._rng.randbytes(FLOW_BYTES)
        spec = LongFlowSpec(flow=flow, service=load.service, address=load.address)
        self.flows[flow] = LongFlow(spec=spec, next_s=next_s)

    def add_request(self, load: ServiceLoad) -> None:
        """Send a request on a new flow; work and answer are 0.5 to 1.5 times those of `load`."""
        spec = RequestSpec(
            flow=self._rng.randbytes(FLOW_BYTES),
            request_id=next(self._request_ids),
            service=load.service,
            address=load.address,
            idempotent=self._rng.random() < load.idempotent_share,
            work_ms=round(load.work_ms * self._rng.uniform(0.5, 1.5)),
            answer_bytes=round(load.answer_bytes * self._rng.uniform(0.5, 1.5)),
        )
        req = Request(spec=spec, policy=self._policy, rng=self._rng)
        self.requests[spec.flow] = req
        self._send(req.decide_packet(time.monotonic(), time.time()))

    def tick(self) -> None:
        """Send every packet that is due."""
        now_s, wall_s = time.monotonic(), time.time()
        for req in list(self.requests.values()):
            self._send(req.decide_packet(now_s, wall_s))
            self._record_outcome(req)
        for flow in self.flows.values():
            self._send(flow.decide_packet(now_s))

    def _send(self, packet: Packet | None) -> None:
        if packet:
            send_datagram(self._sock, FABRIC_CODEC.encode(packet), self._fabric)

    def _record_outcome(self, req: Request) -> None:
        if not req.outcome or req.spec.flow not in self.requests:
            return
        del self.requests[req.spec.flow]
        self._record.append(
            "request",
            flow=req.spec.flow.hex(),
            request_id=req.spec.request_id,
            asked_service=req.spec.service,
            idempotent=req.spec.idempotent,
            outcome=req.outcome,
            attempts=req.attempt,
            codes=req.codes,
        )

    def close_flows(self) -> None:
        """Start closing the long flows."""
        for flow in self.flows.values():
            flow.close()

    def is_idle(self) -> bool:
        """Return whether all requests have an outcome and no flow is closing."""
        closing = any(flow.phase is FlowPhase.CLOSING for flow in self.flows.values())
        return not self.requests and not closing

    def record_unfinished(self) -> None:
        """Record the open requests as they stand, and every long flow."""
        for req in list(self.requests.values()):
            req.finish()
            self._record_outcome(req)
        for flow in self.flows.values():
            self._record.append(
                "long_flow",
                flow=flow.spec.flow.hex(),
                asked_service=flow.spec.service,
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


async def _drain_until(caller: Caller, end_s: float, stop: asyncio.Event) -> None:
    while time.monotonic() < end_s and not stop.is_set() and not caller.is_idle():
        caller.tick()
        await asyncio.sleep(TICK_INTERVAL_S)


async def _send_load_until(
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
        await asyncio.sleep(TICK_INTERVAL_S)


async def run_load(cfg: ConfigParser, stop: asyncio.Event) -> None:
    """Send the load for ``seconds``, then wait at most ``drain_s`` for outcomes."""
    section = cfg["caller"]
    rng = random.Random(section.getint("seed", 1))
    sock = open_datagram_socket("127.0.0.1", 0)
    caller = Caller(
        sock=sock,
        fabric=parse_host_port(section["fabric"]),
        policy=RetryPolicy(
            max_attempts=section.getint("max_attempts", 6),
            attempt_timeout_s=section.getfloat("attempt_timeout_s", 1.5),
        ),
        record=RecordFile(path=Path(section["record"]), common_fields={"caller": section["name"]}),
        rng=rng,
    )
    watch_datagrams(sock, caller.receive)
    loads = list(parse_loads(cfg))
    now_s = time.monotonic()
    flow_spread_s = section.getfloat("flow_spread_s", 1.0)
    for load in loads:
        for _ in range(load.long_flows):
            caller.add_flow(load, now_s + rng.uniform(0.0, flow_spread_s))
    await _send_load_until(caller, loads, now_s + section.getfloat("seconds"), stop)
    caller.close_flows()
    await _drain_until(caller, time.monotonic() + section.getfloat("drain_s", 16.0), stop)
    caller.record_unfinished()


if __name__ == "__main__":
    run_program(run_load)
